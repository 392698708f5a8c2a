"""What one host has learned of one entry of the catalogue."""

from msgspec import Struct

from bronzepoint_node.policy._admission import Pool
from bronzepoint_node.policy._inputs import TargetView
from bronzepoint_node.policy._outputs import TargetChoice
from bronzepoint_node.policy._ramp import AwayRamp
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_schema.generated.decisions import ExclusionReason

USABLE = (ExclusionReason.full, ExclusionReason.worse, ExclusionReason.tried)
"""Exclusions of targets that do work, if not for this request."""


class EntryState(Struct):
    """What is known of an entry's targets in this region.

    Attributes:
        slots: Requests that they work on at once, a slow target counted for less.
        pool: Targets that its requests wait for.
    """

    times: ServiceTimes
    ramp: AwayRamp
    slots: float = 1.0
    pool: Pool = frozenset()

    def drain(self, hosts: int) -> float:
        """Return the seconds until a slot is free for another request of this host.

        Args:
            hosts: Live hosts of the region, which share the slots.
        """
        return self.times.hold * max(1, hosts) / self.slots

    def note_slots(
        self, views: list[TargetView], choice: TargetChoice, now: float
    ) -> None:
        """Count the slots of the targets that work."""
        unusable = {
            candidate.name
            for candidate in choice.candidates
            if candidate.excluded not in (None, *USABLE)
        }
        slots = sum(
            view.slots / self.times.slowness(view.name, now)
            for view in views
            if view.name not in unusable
        )
        if slots > 0:
            self.slots = slots


__all__ = ["EntryState", "USABLE"]
