"""Log lines and metrics of the estimated speeds of a region's targets."""

import math
from dataclasses import dataclass

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics

from ._service_estimates import ServiceEstimates
from ._target_table import TargetTable
from ._tracked_target import TrackedTarget

REPORT_INTERVAL = 1.0
"""Seconds between two updates of the metrics."""
LOG_INTERVAL = 10.0
"""Seconds between two lines for a target, unless its limit appears or ends."""
MIN_LOGGED_CHANGE = 0.25
"""Relative change of a factor that is logged."""

_log = get_logger("placement")


@dataclass
class _Logged:
    at: float = -math.inf
    reading: float = 1.0
    writing: float = 1.0
    limit: int | None = None


class SpeedReport:
    """Reports the speeds that the scheduler of a region goes by.

    A line for each change of each target would be too many while targets vary, so
    there is at most one per target and interval.

    Args:
        table: Targets of the region.
        estimates: Estimates of their services.
        metrics: Receives the metrics.
    """

    def __init__(
        self, table: TargetTable, estimates: ServiceEstimates, metrics: Metrics
    ) -> None:
        self._table = table
        self._estimates = estimates
        self._metrics = metrics
        self._logged: dict[str, _Logged] = {}
        self._reported_at = -math.inf

    def report(self, now: float) -> None:
        """Update the metrics and log the changes, if that is due."""
        if now - self._reported_at < REPORT_INTERVAL:
            return
        self._reported_at = now
        targets = [target for target in self._table.all() if target.engine]
        names = {target.info.incarnation for target in targets}
        self._logged = {n: line for n, line in self._logged.items() if n in names}
        for target in targets:
            self._log_change(target, now)
        self._update_metrics(targets, now)

    def _update_metrics(self, targets: list[TrackedTarget], now: float) -> None:
        factors = [target.speed.reading_factor for target in targets]
        unknown = sum(target.speed.certainty < 1 for target in targets)
        limited = sum(target.concurrency.limit is not None for target in targets)
        shares = [self._reading_share(target, now) for target in targets]
        gauge = self._metrics.gauge
        gauge("speed.slowest_permille", round(1000 * max(factors, default=1.0)))
        gauge("speed.fastest_permille", round(1000 * min(factors, default=1.0)))
        gauge("speed.unknown", unknown)
        gauge("speed.limited", limited)
        gauge("speed.max_reading_permille", round(1000 * max(shares, default=0.0)))
        gauge("speed.held_by_reading", self._estimates.held_by_reading)

    def _log_change(self, target: TrackedTarget, now: float) -> None:
        name, speed = target.info.incarnation, target.speed
        limit = target.concurrency.limit
        logged = self._logged.get(name, _Logged())
        has_limit_changed = (limit is None) != (logged.limit is None)
        has_changed = (
            limit != logged.limit
            or _differs(speed.reading_factor, logged.reading)
            or _differs(speed.writing_factor, logged.writing)
        )
        is_due = now - logged.at >= LOG_INTERVAL
        if not (has_limit_changed or (has_changed and is_due)):
            return
        self._logged[name] = _Logged(
            now, speed.reading_factor, speed.writing_factor, limit
        )
        age = speed.age(now)
        _log.info(
            "target speed",
            target=name,
            reading=round(speed.reading_factor, 2),
            writing=round(speed.writing_factor, 2),
            samples=round(speed.certainty, 1),
            age_ms=round(1000 * age) if age < math.inf else -1,
            copied=speed.better_copy(now) is not None,
            best_concurrency=limit or 0,
            why=target.concurrency.reason,
            in_flight=target.load.in_flight(now),
            reading_share=round(self._reading_share(target, now), 2),
        )

    def _reading_share(self, target: TrackedTarget, now: float) -> float:
        rate = self._estimates.rate(target.info.service).tokens_per_second
        rate /= target.speed.reading_factor
        return target.load.reading.current(rate, now)


def _differs(factor: float, logged: float) -> bool:
    return abs(factor - logged) >= MIN_LOGGED_CHANGE * logged
