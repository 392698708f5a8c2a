"""How often requests may be sent once more, over all hosts together."""

from collections import deque

WINDOW = 10.0
"""Seconds over which the platform counts (its `retry_window_s`)."""
RATIO_USED = 0.75
"""Part of the granted share that is used: hosts count in windows of their own."""
SLACK_USED = 0.7
"""Part of the granted slack that is divided among the hosts."""


class RetryAllowance:
    """A host's part of the repeats that all hosts may make at one service.

    Each host may repeat a share of the requests that it took itself, and an equal
    part of the slack. So the sum keeps the bound without a message, also when hosts
    are cut off from each other: the number of hosts is the largest seen lately.

    Args:
        ratio: Repeats allowed for each request.
        slack: Repeats allowed besides, for all hosts together.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self._ratio = ratio * RATIO_USED
        self._slack = slack * SLACK_USED
        self._hosts = 0
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def note_hosts(self, count: int) -> None:
        """Take in how many entry hosts live; only growth counts.

        Until a host is told, it has no part of the slack: each of many hosts that start
        together would take the whole.

        A host that is cut off sees few others. Were its part to grow with that, the
        hosts on both sides of the cut would together use more than the bound.
        """
        self._hosts = max(self._hosts, count)

    def note_request(self, service: str, now: float) -> None:
        """Count a request that callers sent for the service."""
        _recent(self._requests, service, now).append(now)

    def take(self, service: str, now: float) -> bool:
        """Count one repeat; False where this host's part is used up."""
        requests = len(_recent(self._requests, service, now))
        repeats = _recent(self._repeats, service, now)
        part = self._slack / self._hosts if self._hosts else 0.0
        if len(repeats) + 1 > self._ratio * requests + part:
            return False
        repeats.append(now)
        return True

    def used(self, service: str, now: float) -> int:
        """Return the repeats of the last window."""
        return len(_recent(self._repeats, service, now))


def _recent(table: dict[str, deque[float]], key: str, now: float) -> deque[float]:
    times = table.setdefault(key, deque())
    while times and now - times[0] > WINDOW:
        times.popleft()
    return times
