"""Upper bound on the age of the load data that one host has of the others."""

from bronzepoint_schema.ids import HostName

from ._engine_load import NOTICE_EXPIRY

MAX_AGE = NOTICE_EXPIRY
"""Largest age in seconds: older reports are ignored, so no choice depends on them."""


class StalenessBound:
    """Bounds the age of the other hosts' load reports.

    A host reports its changes at an interval and its full load periodically. The data
    about it is at most as old as the interval that its last notice covers. If a full
    report is overdue, the data is as old as that notice.

    Args:
        refresh: Seconds between two full reports of a host.
    """

    def __init__(self, refresh: float) -> None:
        self._refresh = refresh
        self._notices: dict[HostName, tuple[float, float]] = {}

    def note(self, host: HostName, span: float, now: float) -> None:
        """Record a notice.

        Args:
            host: Sender of the notice.
            span: Seconds since the sender's previous report of changes.
            now: Monotonic seconds.
        """
        self._notices[host] = (now, span)

    def forget(self) -> None:
        """Drop all notices, before switching to another source of reports."""
        self._notices.clear()

    def age(self, now: float) -> float:
        """Return the maximum age of the data in seconds, at most `MAX_AGE`."""
        oldest = 0.0
        for host, (at, span) in list(self._notices.items()):
            elapsed = now - at
            if elapsed >= MAX_AGE:
                # Its reports have expired and no longer affect any choice.
                del self._notices[host]
            elif elapsed > 2 * self._refresh:
                oldest = max(oldest, elapsed)
            else:
                oldest = max(oldest, span)
        return min(oldest, MAX_AGE)
