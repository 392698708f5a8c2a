"""All that this host knows of one target."""

import math

from bronzepoint_node.policy import TargetState, TargetView
from bronzepoint_node.targets._ejection import Health, HealthState
from bronzepoint_node.targets._in_flight import InFlight
from bronzepoint_node.targets._leaving import Leaving
from bronzepoint_node.targets._prefix_memory import PrefixMemory
from bronzepoint_schema.generated.catalogue import Target
from bronzepoint_schema.generated.membership import NoticeSource
from bronzepoint_schema.generated.platform import LoadReport

UNREACHABLE_POLLS = 3
"""Polls in a row that could not connect, after which a target gets no new work."""


class TrackedTarget:
    """One target as this host sees it.

    Args:
        target: What the catalogue says of it.
        most_blocks: Prompt blocks remembered of it.
    """

    def __init__(self, target: Target, most_blocks: int) -> None:
        self.target = target
        self.in_flight = InFlight()
        self.health = Health()
        self.leaving = Leaving(target.name)
        self.memory = PrefixMemory(most_blocks)
        self.report: LoadReport | None = None
        self.failed_polls = 0
        self._reported_at = 0.0
        self._was_away = False

    def update(self, target: Target) -> bool:
        """Take what the catalogue says now; True where it is another process."""
        moved = target.address != self.target.address
        self.target = target
        self.leaving.by_operator = target.leaving
        return moved

    def note_report(self, report: LoadReport, unix_time: float) -> None:
        """Take a load report, unless a later one is known."""
        self.failed_polls = 0
        self.leaving.reports = True
        self.leaving.hear(NoticeSource.target, report.leaving, report.as_of)
        if self.report is None or report.as_of >= self.report.as_of:
            self.report = report
            self._reported_at = unix_time

    def target_now(self, unix_time: float) -> float:
        """Return the time by the target's clock, as far as its reports tell it.

        A report is older than its arrival says, by its lag: the value is too low by
        as much, and `LAG_BOUND` allows for that.
        """
        if self.report is None:
            return unix_time
        return self.report.as_of + (unix_time - self._reported_at)

    def settle(self, now: float) -> None:
        """Let a target that has just come back have its load slowly.

        All hosts learn of its return at the same time, and its cache is cold.
        """
        away = self.leaving.leaving or not self.reachable
        if self._was_away and not away:
            self.health.begin_return(now)
        self._was_away = away
        self.health.settle(now, self.slots)

    @property
    def slots(self) -> int:
        """Requests that it works on at once, by its own report where there is one."""
        return self.target.slots if self.report is None else max(1, self.report.slots)

    @property
    def reachable(self) -> bool:
        """False where polls failed to connect."""
        most = 1 if self.report is None else UNREACHABLE_POLLS
        return self.failed_polls < most

    @property
    def state(self) -> TargetState:
        """Whether it may get new work."""
        if self.leaving.leaving:
            return TargetState.leaving
        if self.health.state is HealthState.ejected:
            return TargetState.ejected
        if not self.reachable:
            return TargetState.unknown
        return TargetState.ready

    def view(self, hashes: list[str], now: float, unix_time: float) -> TargetView:
        """Return what the policy weighs.

        Args:
            hashes: Hashes of the prompt's blocks.
            now: Monotonic seconds.
            unix_time: Unix time of this host.
        """
        view = TargetView(
            name=self.target.name,
            region=self.target.region,
            address=self.target.address,
            slots=self.slots,
            cost=self.target.cost,
            state=self.state,
            in_flight=self.in_flight.count,
            in_flight_at_report=self.in_flight.count,
            report_age=math.inf,
            cached_tokens=self.memory.cached_tokens(hashes, now),
        )
        if self.health.state is HealthState.returning:
            view.allowed = self.health.allowed
        if self.report is not None:
            view.running = self.report.running
            view.waiting = self.report.waiting
            view.report_age = max(0.0, unix_time - self.report.as_of)
            view.in_flight_at_report = self.in_flight.at(self.report.as_of)
        return view
