"""The share of an entry's requests that goes away from home, moved in small steps."""

from msgspec import Struct

_LONGEST_STEP = 0.5
"""Seconds of change taken at once after a pause, so that a pause makes no jump."""
_FIRST_SHARE = 0.05
"""Share allowed from the first moment, so that something is learned of the region."""


class AwayRamp(Struct):
    """Follows the wish to send away, or to stay, with a bounded slope.

    Without it all hosts send everything to the region that looked idle in the last
    summary. Its caches are cold, so it falls behind, the next summary sends everything
    back, and the two regions swap their load without end. One would notice shares away
    that jump between nothing and all with the period of the summaries.

    Attributes:
        step: most change of the share, in a second.
        share: between 0 and 1.
        updated: monotonic seconds of the last change.
    """

    step: float
    share: float = 0.0
    updated: float = 0.0

    def update(self, wants_away: bool, now: float) -> float:
        """Move the share towards the wish of one request, and return it."""
        elapsed = min(_LONGEST_STEP, now - self.updated)
        self.updated = now
        change = self.step * elapsed
        if wants_away:
            self.share = min(1.0, max(self.share, _FIRST_SHARE) + change)
        else:
            self.share = max(0.0, self.share - change)
        return self.share


__all__ = ["AwayRamp"]
