"""From which target a shared part of a prompt is fetched instead of read again."""

from collections.abc import Iterable

from ._prompt import Prompt
from ._tracked import Tracked, is_ejected, is_silent

SETUP = 0.004
"""Seconds that a fetch takes besides the copying."""
LEAST_TOKENS = 64
"""Fewer tokens are read in the time that it takes to set a fetch up."""


def fetch_source(
    target: Tracked, others: Iterable[Tracked], prompt: Prompt, rate: float, now: float
) -> Tracked | None:
    """Return the target to fetch from; None: reading is as good, or nobody keeps more.

    A part that was read once is copied in a fraction of the time and of the price of
    reading it. It binds when an engine has come back cold, or when the one that keeps
    a part is full: each prompt placed elsewhere would read all of it again.

    Args:
        target: Where the request goes.
        others: Targets that may keep parts of the prompt.
        prompt: The prompt.
        rate: Tokens that an engine reads in a second.
        now: Monotonic seconds.
    """
    if target.engine is None:
        return None
    kept = target.memory.cached_tokens(prompt)
    best, most = None, kept
    for other in others:
        if other is target or is_silent(other, now) or is_ejected(other):
            continue
        found = other.memory.cached_tokens(prompt)
        if found > most:
            best, most = other, found
    gained = most - kept
    if best is None or gained < LEAST_TOKENS:
        return None
    copying = SETUP + gained * target.engine.seconds_to_copy
    return best if copying < gained / rate else None
