"""Size and shared parts of a request's prompt."""

import math

from msgspec import Struct

OUTPUT_SPREAD = 1.5
"""Multiple of the estimated output that a request is assumed to write. The estimate is
right at the median only, and a target that runs out of memory preempts requests or
crashes."""


class PromptPart(Struct, frozen=True):
    """A piece of a prompt that other requests may have in common."""

    name: str
    tokens: int


class Prompt(Struct, frozen=True):
    """A prompt and the space that its answer may take.

    Attributes:
        parts: Parts in order; the last one is specific to the request or its session.
        tokens: Tokens of the whole prompt.
        max_output: Maximum number of tokens to generate.
        expected_output: The caller's estimate of the generated tokens; 0 if none.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    max_output: int
    expected_output: int = 0

    @property
    def shared_key(self) -> str:
        """Name of the last shared part; empty if no part is shared."""
        return self.parts[-2].name if len(self.parts) > 1 else ""

    @property
    def output_tokens(self) -> int:
        """Expected number of tokens to generate."""
        return self.expected_output or self.max_output

    @property
    def memory_tokens(self) -> int:
        """Expected memory in tokens at its end, without the shared parts."""
        output = self.max_output
        if self.expected_output:
            spread = math.ceil(OUTPUT_SPREAD * self.expected_output)
            output = min(spread, self.max_output or spread)
        return self.own_tokens + output

    @property
    def own_tokens(self) -> int:
        """Tokens of the part that no other request shares."""
        return self.parts[-1].tokens if self.parts else self.tokens

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return self.tokens - self.own_tokens
