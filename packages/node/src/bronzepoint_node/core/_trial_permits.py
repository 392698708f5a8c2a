"""Permits to try a doubtful request, over all hosts."""

from bronzepoint_node.quarantine import KEPT
from bronzepoint_schema.ids import Fingerprint


class TrialPermits:
    """Permits one trial of each request.

    Each host alone could count only its own, and a caller goes from host to host. All
    ask the same host of the core about one request; where they don't agree on it, as
    while the core is cut, each of those that are asked permits one.
    """

    def __init__(self) -> None:
        self._given_at: dict[Fingerprint, float] = {}

    def take(self, name: Fingerprint, now: float) -> bool:
        """Permit a trial; False: one was permitted before."""
        self._forget(now)
        if name in self._given_at:
            return False
        self._given_at[name] = now
        return True

    def seconds_left(self, name: Fingerprint, now: float) -> float:
        """Return the seconds until one may be permitted again."""
        return max(0.0, self._given_at.get(name, now - KEPT) + KEPT - now)

    def forget(self, name: Fingerprint) -> None:
        """Begin anew with a request that was cleared."""
        self._given_at.pop(name, None)

    def _forget(self, now: float) -> None:
        for name, at in list(self._given_at.items()):
            if now - at > KEPT:
                del self._given_at[name]
