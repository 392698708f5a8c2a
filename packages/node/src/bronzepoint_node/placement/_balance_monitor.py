"""Metrics that show how even the load of the targets of a region is."""

from bronzepoint_common.metrics import Metrics

from ._target_table import TargetTable
from ._tracked_target import is_ejected, is_unresponsive

MAX_INTERVAL = 1.0
"""Longest time in seconds between two observations that counts. A host that was
suspended has not observed the time in between."""


class BalanceMonitor:
    """Reports, by service, how uneven the load of the targets is.

    The gauge ``balance.SERVICE.largest_over_mean`` is the largest load per slot of a
    target relative to the mean. The counter ``balance.SERVICE.idle_while_waiting_ms``
    is the time in which a target had free slots while requests waited.

    Args:
        table: Targets of the region.
        metrics: Receives the gauge and the counter.
    """

    def __init__(self, table: TargetTable, metrics: Metrics) -> None:
        self._table = table
        self._metrics = metrics
        self._observed_at: dict[str, float] = {}

    def observe(self, service: str, waiting: int, now: float) -> None:
        """Record the state of a service.

        Args:
            service: The service.
            waiting: Number of its requests that wait for a target.
            now: Monotonic seconds.
        """
        elapsed = now - self._observed_at.get(service, now)
        self._observed_at[service] = now
        loads = [
            (target.load.in_flight(now), target.slots)
            for target in self._table.of_service(service)
            if self._table.is_open(target)
            and now >= target.cold_until
            and target.limit.rate is None
            and not is_ejected(target)
            and not is_unresponsive(target, now)
        ]
        total = sum(in_flight for in_flight, _ in loads)
        if total:
            mean = total / sum(slots for _, slots in loads)
            largest = max(in_flight / slots for in_flight, slots in loads)
            ratio = round(largest / mean, 2)
            self._metrics.gauge(f"balance.{service}.largest_over_mean", ratio)
        has_free_slots = any(in_flight < slots for in_flight, slots in loads)
        if waiting and has_free_slots and elapsed <= MAX_INTERVAL:
            name = f"balance.{service}.idle_while_waiting_ms"
            self._metrics.incr(name, round(elapsed * 1000))
