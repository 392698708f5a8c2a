"""What a request says of its prompt."""

from msgspec import Struct


class PromptPart(Struct, frozen=True):
    """A piece of a prompt that other requests may share."""

    name: str
    tokens: int


class Prompt(Struct, frozen=True):
    """A prompt and the room that its answer may take.

    Attributes:
        parts: In order; the last one belongs to the request or to its session.
        tokens: Tokens of the whole prompt.
        max_output: Most tokens that may be generated.
        expected_output: The caller's estimate of them; 0: none.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    max_output: int
    expected_output: int = 0

    @property
    def shared_key(self) -> str:
        """Name of the last part that others share; empty: none is shared."""
        return self.parts[-2].name if len(self.parts) > 1 else ""

    @property
    def memory_tokens(self) -> int:
        """Memory that it takes up besides what is shared, at a fair guess."""
        own = self.parts[-1].tokens if self.parts else self.tokens
        return own + (self.expected_output or self.max_output)
