"""System-wide permits for trials of doubtful requests."""

from bronzepoint_node.quarantine import RETENTION
from bronzepoint_schema.ids import Fingerprint


class TrialPermits:
    """Grants one permit per request.

    Entry hosts can't limit trials on their own, as a caller may use any of them. All of
    them ask the same core host about one request. If they choose different core hosts,
    such as during a network partition, each of these grants one permit.
    """

    def __init__(self) -> None:
        self._granted_at: dict[Fingerprint, float] = {}

    def grant(self, fingerprint: Fingerprint, now: float) -> bool:
        """Grant a permit; return False if one was granted before."""
        self._expire(now)
        if fingerprint in self._granted_at:
            return False
        self._granted_at[fingerprint] = now
        return True

    def seconds_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until a new permit may be granted."""
        return max(
            0.0, self._granted_at.get(fingerprint, now - RETENTION) + RETENTION - now
        )

    def reset(self, fingerprint: Fingerprint) -> None:
        """Reset the permit of a request that was cleared."""
        self._granted_at.pop(fingerprint, None)

    def _expire(self, now: float) -> None:
        for fingerprint, at in list(self._granted_at.items()):
            if now - at > RETENTION:
                del self._granted_at[fingerprint]
