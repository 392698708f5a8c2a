"""How fast engines read prompts."""

from msgspec import Struct

FIRST_RATE = 35_000.0
"""Tokens a second until the first prompts are read."""
LEAST_TOKENS = 1500
"""Shorter prompts say more of the batch's pace than of the reading."""
WEIGHT = 0.1


class ReadingRate(Struct):
    """Running estimate for the engines of one service, in tokens a second.

    Only prompts before which nothing lay count: the time of the others is mostly
    waiting, and a rate that is taken too low makes every engine look busy.
    """

    tokens_per_second: float = FIRST_RATE

    def add(self, uncached: int, seconds: float, before: float) -> None:
        """Take in the time to the first token of one request.

        Args:
            uncached: Tokens that were read for it.
            seconds: From its sending to the first token.
            before: Tokens that lay before it.
        """
        if uncached < LEAST_TOKENS or before > 0.1 * uncached or seconds <= 0:
            return
        rate = uncached / seconds
        # A prompt that was believed cached, or not, is off by a multiple.
        if not 0.3 < rate / self.tokens_per_second < 3:
            return
        self.tokens_per_second += WEIGHT * (rate - self.tokens_per_second)
