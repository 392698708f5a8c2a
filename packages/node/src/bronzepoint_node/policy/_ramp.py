"""Slope-limited share of an entry's requests that is forwarded to other regions."""

from msgspec import Struct

_MAX_ELAPSED_SECONDS = 0.5
"""Longest time for which one update changes the share, so that a pause without
requests causes no jump."""
_INITIAL_SHARE = 0.05
"""Share allowed at once, so that the first forwarded requests give information about
the other region."""


class ForwardRamp(Struct):
    """Limits how fast the share of forwarded requests changes.

    Without the limit all hosts would forward everything to the region that looked idle
    in the last summary. With its cold caches that region would fall behind, the next
    summary would send everything back, and the load would oscillate between the two
    regions with the period of the summaries.

    Attributes:
        step: maximum change of the share per second.
        share: between 0 and 1.
        updated: monotonic seconds of the last change.
    """

    step: float
    share: float = 0.0
    updated: float = 0.0

    def update(self, prefers_remote: bool, now: float) -> float:
        """Move the share towards the preference of one request, and return it."""
        elapsed = min(_MAX_ELAPSED_SECONDS, now - self.updated)
        self.updated = now
        change = self.step * elapsed
        if prefers_remote:
            self.share = min(1.0, max(self.share, _INITIAL_SHARE) + change)
        else:
            self.share = max(0.0, self.share - change)
        return self.share


__all__ = ["ForwardRamp"]
