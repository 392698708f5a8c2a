"""A request inside an engine."""

from enum import Enum

import curio


class JobState(Enum):
    """Processing state of a request."""

    waiting = "waiting"
    running = "running"
    done = "done"
    cancelled = "cancelled"


class Job:
    """A request, its progress, and the queue of its generated tokens.

    Attributes:
        tokens: Numbers of the generated tokens; None marks the end. ``state`` is
            ``done`` if all tokens were generated.
    """

    def __init__(
        self,
        request_id: str,
        priority: int,
        blocks: list[str],
        prompt_tokens: int,
        max_tokens: int,
        nonce: str = "",
    ) -> None:
        self.request_id = request_id
        self.priority = priority
        self.nonce = nonce
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = 0
        self.max_tokens = max_tokens
        self.generated = 0
        self.prompt_remaining = 0
        self.state = JobState.waiting
        self.tokens: curio.Queue = curio.Queue()
        self.started = 0.0
