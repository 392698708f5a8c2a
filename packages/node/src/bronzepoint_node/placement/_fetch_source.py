"""Selection of the target that a cached part of a prompt is copied from."""

from collections.abc import Iterable

from ._prompt import Prompt
from ._tracked_target import TrackedTarget, is_ejected, is_unresponsive

SETUP_TIME = 0.004
"""Fixed overhead of a copy in seconds, in addition to the transfer time."""
MIN_TOKENS = 64
"""Smallest number of tokens worth copying. Fewer are read in less time than it takes to
set up a copy."""


def fetch_source(
    target: TrackedTarget,
    others: Iterable[TrackedTarget],
    prompt: Prompt,
    rate: float,
    now: float,
) -> TrackedTarget | None:
    """Return the target to copy from.

    It is None if reading is as fast, or if no other target caches more of the prompt.

    Copying a part takes a fraction of the time and of the cost of reading it. This
    matters when an engine has restarted with an empty cache, or when the target that
    caches the part is full: otherwise every prompt that is placed on another target
    reads the whole part again.

    Args:
        target: Target that the request is sent to.
        others: Targets that may cache parts of the prompt.
        prompt: The prompt.
        rate: Tokens that an engine reads per second.
        now: Monotonic seconds.
    """
    if target.engine is None or target.engine.seconds_to_copy >= 1 / rate:
        # Copying a token takes as long as reading it, or isn't possible.
        return None
    kept = target.memory.cached_tokens(prompt)
    best, max_cached = None, kept
    for other in others:
        if other is target or is_unresponsive(other, now) or is_ejected(other):
            continue
        if other.info.software_version != target.info.software_version:
            # What another version has cached may not be readable.
            continue
        found = other.memory.cached_tokens(prompt)
        if found > max_cached:
            best, max_cached = other, found
    gained = max_cached - kept
    if best is None or gained < MIN_TOKENS:
        return None
    copying = SETUP_TIME + gained * target.engine.seconds_to_copy
    return best if copying < gained / rate else None
