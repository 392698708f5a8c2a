"""Estimate of how fast engines read prompts."""

from msgspec import Struct

INITIAL_RATE = 35_000.0
"""Tokens per second, until the first prompts have been measured."""
MIN_TOKENS = 1500
"""Prompt tokens below which the time measures the pace of the batch rather than the
reading rate."""
SMOOTHING = 0.1
"""Weight of a new measurement in the moving average."""


class ReadingRate(Struct):
    """Moving average over the engines of one service, in tokens per second.

    Only prompts with hardly any tokens queued ahead of them count. For the others most
    of the time is waiting, and a rate that is too low makes every engine look busy.
    """

    tokens_per_second: float = INITIAL_RATE

    def add(self, uncached: int, seconds: float, before: float) -> None:
        """Apply the time to the first token of one request.

        Args:
            uncached: Tokens that were read for it.
            seconds: Time from sending it to the first token.
            before: Tokens queued ahead of it.
        """
        if uncached < MIN_TOKENS or before > 0.1 * uncached or seconds <= 0:
            return
        rate = uncached / seconds
        # A wrong assumption about the cache changes the rate by a multiple.
        if not 0.3 < rate / self.tokens_per_second < 3:
            return
        self.tokens_per_second += SMOOTHING * (rate - self.tokens_per_second)
