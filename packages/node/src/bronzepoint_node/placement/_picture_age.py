"""How old what one host knows of the others may be."""

from bronzepoint_schema.ids import HostName

from ._engine_load import NOTICE_EXPIRY

MOST_AGE = NOTICE_EXPIRY
"""Seconds: older words count for nothing, so no choice rests on them."""


class PictureAge:
    """Bounds the age of what other hosts have told.

    A host tells what has changed at an interval, and all of it now and then. So what it
    has in progress can be as old as the interval that its last notice spans; and once
    it has missed telling all, as old as that notice.

    Args:
        refresh: Seconds after which a host tells all again.
    """

    def __init__(self, refresh: float) -> None:
        self._refresh = refresh
        self._notices: dict[HostName, tuple[float, float]] = {}

    def note(self, host: HostName, span: float, now: float) -> None:
        """Count a notice.

        Args:
            host: Who sent it.
            span: Seconds since it had told its changes before.
            now: Monotonic seconds.
        """
        self._notices[host] = (now, span)

    def forget(self) -> None:
        """Begin anew, as the hosts are heard in another way from now on."""
        self._notices.clear()

    def age(self, now: float) -> float:
        """Return the seconds that what is known may be old, at most `MOST_AGE`."""
        oldest = 0.0
        for host, (at, span) in list(self._notices.items()):
            silent = now - at
            if silent >= MOST_AGE:
                # Its words have expired: nothing is known of it, and nothing used.
                del self._notices[host]
            elif silent > 2 * self._refresh:
                oldest = max(oldest, silent)
            else:
                oldest = max(oldest, span)
        return min(oldest, MOST_AGE)
