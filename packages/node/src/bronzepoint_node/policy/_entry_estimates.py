"""One host's running estimates for one entry of the catalogue."""

from msgspec import Struct

from bronzepoint_node.policy._admission import Pool
from bronzepoint_node.policy._inputs import TargetView
from bronzepoint_node.policy._outputs import TargetChoice
from bronzepoint_node.policy._ramp import ForwardRamp
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._spread_choice import EvenSequence
from bronzepoint_schema.generated.decisions import ExclusionReason

WORKING_EXCLUSIONS = (
    ExclusionReason.full,
    ExclusionReason.worse,
    ExclusionReason.tried,
)
"""Exclusions of targets that are healthy but not usable for this request."""


class EntryEstimates(Struct):
    """Estimates for an entry's targets in this region.

    Attributes:
        times: Durations of its requests.
        ramp: Share of its requests that is forwarded to other regions.
        sequence: Draws of a target.
        slots: Requests that the targets run at once; a slow target counts for less.
        pool: Targets that its requests wait for.
    """

    times: ServiceTimes
    ramp: ForwardRamp
    sequence: EvenSequence
    slots: float = 1.0
    pool: Pool = frozenset()

    def start_interval(self, hosts: int) -> float:
        """Return the expected seconds between two free slots for this host.

        Args:
            hosts: Number of live hosts of the region, which share the slots.
        """
        return self.times.hold * max(1, hosts) / self.slots

    def update_slots(
        self, views: list[TargetView], choice: TargetChoice, now: float
    ) -> None:
        """Update the number of slots of the working targets."""
        unusable = {
            candidate.name
            for candidate in choice.candidates
            if candidate.excluded not in (None, *WORKING_EXCLUSIONS)
        }
        slots = sum(
            view.slots / self.times.slowness(view.name, now)
            for view in views
            if view.name not in unusable
        )
        if slots > 0:
            self.slots = slots


__all__ = ["EntryEstimates", "WORKING_EXCLUSIONS"]
