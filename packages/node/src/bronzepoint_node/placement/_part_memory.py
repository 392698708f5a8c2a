"""Which parts of prompts one engine has most likely cached."""

from collections import OrderedDict

from ._prompt import Prompt

FULL_SHARE = 0.9
"""Part of an engine's memory that cached parts are taken to fill at most."""


class PartMemory:
    """Follows what was sent to one engine; the parts used longest ago go first.

    Args:
        most_tokens: Tokens that the engine keeps.
    """

    def __init__(self, most_tokens: int) -> None:
        self._most = most_tokens * FULL_SHARE
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def note_used(self, prompt: Prompt) -> None:
        """Count the parts of a prompt as cached."""
        for part in prompt.parts:
            self.note_part(part.name, part.tokens)

    def note_part(self, name: str, tokens: int) -> None:
        """Count one part as cached."""
        self._tokens += tokens - self._parts.pop(name, 0)
        self._parts[name] = tokens
        while self._tokens > self._most and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def drop(self, name: str) -> None:
        """Count a part as no longer cached."""
        self._tokens -= self._parts.pop(name, 0)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts believed to be cached.

        A part counts only where all parts before it are cached too.
        """
        found = 0
        for part in prompt.parts:
            if part.name not in self._parts:
                break
            found += part.tokens
        return found
