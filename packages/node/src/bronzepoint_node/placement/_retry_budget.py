"""Limit on retries, across all hosts together."""

from collections import Counter, deque

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics

WINDOW = 10.0
"""Seconds over which the platform counts retries (its `retry_window_s`)."""
RATIO_USED = 0.75
"""Fraction of the granted ratio that is used, since the windows of the hosts are not
aligned."""
SLACK_USED = 0.7
"""Fraction of the granted slack that is divided among the hosts."""

LOG_INTERVAL = 1.0
"""Minimum seconds between two log lines about the budget of a service."""

_log = get_logger("placement")


class RetryBudget:
    """A host's share of the retries that all hosts may make at one service.

    Each host may retry a fraction of the requests that it received itself, and use an
    equal share of the slack. The sum stays within the limit without any messages, also
    in a network partition: the divisor is the largest number of hosts seen.

    Args:
        ratio: Retries allowed per request.
        slack: Additional retries allowed, for all hosts together.
        metrics: Counters of retries made and denied.
    """

    def __init__(
        self, ratio: float, slack: float, metrics: Metrics | None = None
    ) -> None:
        self._metrics = metrics if metrics is not None else Metrics()
        self._denied: Counter[str] = Counter()
        self._logged_at: dict[str, float] = {}
        self._ratio = ratio * RATIO_USED
        self._slack = slack * SLACK_USED
        self._hosts = 0
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def note_hosts(self, count: int) -> None:
        """Record the number of live entry hosts; only increases count.

        Until the first call a host has no share of the slack. Otherwise each of many
        hosts that start together would use all of it.

        In a network partition a host sees few others. If its share grew, the hosts on
        both sides together would exceed the limit.
        """
        self._hosts = max(self._hosts, count)

    def note_request(self, service: str, now: float) -> None:
        """Record a request of a caller for the service."""
        _within_window(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Use one retry; return False if this host's share is used up."""
        requests = len(_within_window(self._requests, service, now))
        retries = _within_window(self._retries, service, now)
        part = self._slack / self._hosts if self._hosts else 0.0
        is_granted = len(retries) + 1 <= self._ratio * requests + part
        if is_granted:
            retries.append(now)
            self._metrics.incr("retry.made")
        else:
            self._denied[service] += 1
            self._metrics.incr("retry.denied")
        self._log_state(service, now)
        return is_granted

    def describe(self, service: str, now: float) -> str:
        """Return what is used of this host's share, for the log."""
        requests = len(_within_window(self._requests, service, now))
        part = self._slack / self._hosts if self._hosts else 0.0
        allowed = self._ratio * requests + part
        return (
            f"{self.used(service, now)} of {allowed:.1f} retries in {WINDOW:.0f} s, "
            f"{requests} requests, slack {part:.1f} for one of {self._hosts} hosts"
        )

    def _log_state(self, service: str, now: float) -> None:
        if now - self._logged_at.get(service, float("-inf")) < LOG_INTERVAL:
            return
        self._logged_at[service] = now
        _log.info(
            "retry budget",
            service=service,
            used=self.describe(service, now),
            denied=self._denied.pop(service, 0),
        )

    def used(self, service: str, now: float) -> int:
        """Return the number of retries in the current window."""
        return len(_within_window(self._retries, service, now))


def _within_window(
    table: dict[str, deque[float]], key: str, now: float
) -> deque[float]:
    times = table.setdefault(key, deque())
    while times and now - times[0] > WINDOW:
        times.popleft()
    return times
