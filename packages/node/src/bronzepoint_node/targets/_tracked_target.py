"""State of one target as observed by this host."""

import math

from bronzepoint_node.policy import TargetState, TargetView
from bronzepoint_node.targets._ejection import Health, HealthState
from bronzepoint_node.targets._in_flight import InFlight
from bronzepoint_node.targets._leaving import LeavingNotices
from bronzepoint_node.targets._prefix_cache_estimate import PrefixCacheEstimate
from bronzepoint_schema.generated.catalogue import Target
from bronzepoint_schema.generated.membership import NoticeSource
from bronzepoint_schema.generated.platform import LoadReport

UNREACHABLE_POLLS = 3
"""Number of consecutive polls without a connection after which a target gets no new
requests."""


class TrackedTarget:
    """One target as observed by this host.

    Args:
        target: Its definition in the catalogue.
        max_blocks: Maximum number of prompt blocks remembered for it.
    """

    def __init__(self, target: Target, max_blocks: int) -> None:
        self.target = target
        self.in_flight = InFlight()
        self.health = Health()
        self.leaving = LeavingNotices(target.name)
        self.memory = PrefixCacheEstimate(max_blocks)
        self.report: LoadReport | None = None
        self.failed_polls = 0
        self._rests_until = -math.inf
        self._reported_at = 0.0
        self._was_unavailable = False

    def update(self, target: Target) -> bool:
        """Apply a new definition; return True where its address has changed."""
        moved = target.address != self.target.address
        self.target = target
        self.leaving.by_operator = target.leaving
        return moved

    def note_report(self, report: LoadReport, unix_time: float) -> None:
        """Record a load report, unless a newer one is known."""
        self.failed_polls = 0
        self.leaving.sends_reports = True
        self.leaving.record(NoticeSource.target, report.leaving, report.as_of)
        if self.report is None or report.as_of >= self.report.as_of:
            self.report = report
            self._reported_at = unix_time

    def record_rest(self, seconds: float, now: float) -> None:
        """Record that it wants no requests of this host for some seconds."""
        self._rests_until = max(self._rests_until, now + seconds)

    def target_now(self, unix_time: float) -> float:
        """Estimate the Unix time by the target's clock from its last report.

        A report is older than its arrival time by its lag. The estimate is too low by
        that lag, and `MAX_REPORT_LAG_SECONDS` allows for it.
        """
        if self.report is None:
            return unix_time
        return self.report.as_of + (unix_time - self._reported_at)

    def update_state(self, now: float) -> None:
        """Limit the load of a target that has just become available again.

        All hosts see its return at the same time, and its cache is cold.
        """
        unavailable = self.leaving.leaving or not self.reachable
        if self._was_unavailable and not unavailable:
            self.health.begin_return(now)
        self._was_unavailable = unavailable
        self.health.settle(now, self.slots)

    @property
    def slots(self) -> int:
        """Requests that it runs at once, by its own report where there is one."""
        return self.target.slots if self.report is None else max(1, self.report.slots)

    @property
    def reachable(self) -> bool:
        """Whether recent polls could connect."""
        max_failed = 1 if self.report is None else UNREACHABLE_POLLS
        return self.failed_polls < max_failed

    @property
    def state(self) -> TargetState:
        """Whether it may get new requests, and if not, why."""
        if self.leaving.leaving:
            return TargetState.leaving
        if self.health.state is HealthState.ejected:
            return TargetState.ejected
        if not self.reachable:
            return TargetState.unknown
        return TargetState.ready

    def view(self, hashes: list[str], now: float, unix_time: float) -> TargetView:
        """Return the view of the target that the policy uses.

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
        if now < self._rests_until:
            view.allowed = 0
        if self.report is not None:
            view.running = self.report.running
            view.waiting = self.report.waiting
            view.report_age = max(0.0, unix_time - self.report.as_of)
            view.in_flight_at_report = self.in_flight.at(self.report.as_of)
        return view
