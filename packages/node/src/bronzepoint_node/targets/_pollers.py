"""The pollers of all targets whose load this host watches."""

from collections.abc import Callable, Iterable

from bronzepoint_common.http import HttpClient
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.targets._byte_budget import ByteBudget
from bronzepoint_node.targets._poller import Poller
from bronzepoint_node.targets._tracked_target import TrackedTarget
from bronzepoint_schema.ids import TargetName

_POLLS_PER_SECOND = 2.0
"""Rate of load polls over all targets; with more targets each is polled less often."""
_EVENT_BYTES_PER_SECOND = 2000.0
"""Rate of cache events read over all targets."""


class Pollers:
    """Starts and closes pollers as targets are added and removed.

    Args:
        http: Connections to targets.
        min_interval: Shortest interval between two polls of one target, in seconds.
        on_report: Called after each report.
        metrics: Counts polls.
    """

    def __init__(
        self,
        http: HttpClient,
        min_interval: float,
        on_report: Callable[[TrackedTarget], None],
        metrics: Metrics,
    ) -> None:
        self._http = http
        self._min_interval = min_interval
        self._on_report = on_report
        self._metrics = metrics
        self._event_budget = ByteBudget(_EVENT_BYTES_PER_SECOND)
        self._pollers: dict[TargetName, Poller] = {}

    async def follow(self, targets: Iterable[TrackedTarget]) -> None:
        """Poll these targets and no others."""
        wanted = {tracked.target.name: tracked for tracked in targets}
        for name, poller in list(self._pollers.items()):
            if wanted.get(name) is not poller.tracked:
                del self._pollers[name]
                await poller.close()
        for name, tracked in wanted.items():
            if name not in self._pollers:
                self._pollers[name] = self._make(tracked)
                await self._pollers[name].start()

    async def close(self) -> None:
        """Close all pollers."""
        await self.follow([])

    def _make(self, tracked: TrackedTarget) -> Poller:
        return Poller(
            tracked,
            self._http,
            self._interval,
            self._event_budget,
            self._on_report,
            self._metrics,
        )

    def _interval(self) -> float:
        return max(self._min_interval, len(self._pollers) / _POLLS_PER_SECOND)
