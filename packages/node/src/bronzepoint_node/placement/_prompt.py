"""Size and shared parts of a request's prompt."""

from msgspec import Struct


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
        """Estimated memory in tokens, without the shared parts."""
        own = self.parts[-1].tokens if self.parts else self.tokens
        return own + self.output_tokens
