"""Estimate of which parts of prompts one engine has cached."""

from collections import OrderedDict

from ._prompt import Prompt

CACHE_FILL_SHARE = 0.9
"""Fraction of an engine's memory that cached parts are assumed to occupy at most."""


class CacheEstimate:
    """LRU model of an engine's cache, based on the parts sent to it.

    Args:
        token_limit: Tokens that fit into the engine's memory.
    """

    def __init__(self, token_limit: int) -> None:
        self._token_limit = token_limit * CACHE_FILL_SHARE
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        self._last_prompt: Prompt | None = None
        self._last_cached = 0

    def note_used(self, prompt: Prompt) -> None:
        """Mark the parts of a prompt as cached."""
        for part in prompt.parts:
            self.note_part(part.name, part.tokens)

    def note_part(self, name: str, tokens: int) -> None:
        """Mark a part as cached."""
        self._last_prompt = None
        self._tokens += tokens - self._parts.pop(name, 0)
        self._parts[name] = tokens
        while self._tokens > self._token_limit and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def drop(self, name: str) -> None:
        """Mark a part as no longer cached."""
        self._last_prompt = None
        self._tokens -= self._parts.pop(name, 0)

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of the leading parts that are assumed to be cached.

        A part counts only if all parts before it are cached, too. The last result is
        kept, since one choice asks for it several times.
        """
        if prompt is self._last_prompt:
            return self._last_cached
        found = 0
        for part in prompt.parts:
            if part.name not in self._parts:
                break
            found += part.tokens
        self._last_prompt, self._last_cached = prompt, found
        return found
