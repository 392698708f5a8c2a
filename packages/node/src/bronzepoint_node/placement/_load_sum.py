"""What several hosts have in progress at one target, added up."""

from collections.abc import Iterable
from typing import Self

from msgspec import Struct

from bronzepoint_schema.generated.target_loads import TargetLoad

RANKS = 4
"""Ranks that are told apart; less urgent ones count as the last."""


class ReadingHead(Struct, frozen=True):
    """The prompt that is read now: the one that was sent first of all unread ones.

    Attributes:
        sent_at: When it was sent, by the own monotonic clock.
        began_at: When the engine began to read it, as far as is known.
        tokens: Prompt tokens that the engine reads for it.
        rank: How urgent it is.
    """

    sent_at: float
    began_at: float
    tokens: int
    rank: int


class LoadSum(Struct):
    """A sum over hosts.

    Attributes:
        in_flight: Requests in progress.
        memory_tokens: Memory that they take up.
        unread: Prompt tokens that are yet to be read, by rank.
        head: The prompt that is read now; None: none waits.
    """

    in_flight: int
    memory_tokens: int
    unread: list[int]
    head: ReadingHead | None

    @property
    def is_quiet(self) -> bool:
        """Tell whether each of them has begun, as far as can be told."""
        # Of requests without a prompt nobody tells whether they have.
        has_prompts = self.memory_tokens > 0
        if self.in_flight and not has_prompts:
            return False
        return self.head is None and not any(self.unread)

    @classmethod
    def of(cls, words: Iterable[tuple[float, TargetLoad]]) -> Self:
        """Add up words of several hosts, each with the time that it speaks of."""
        total = cls(0, 0, [0] * RANKS, None)
        for at, load in words:
            total.in_flight += load.in_flight
            total.memory_tokens += load.memory_tokens
            for rank, tokens in enumerate(load.unread):
                total.unread[rank] += tokens
            if load.head_tokens:
                sent_at = at - load.head_age_ms / 1000
                tokens, rank = load.head_tokens, load.head_rank
                total.note_head(ReadingHead(sent_at, sent_at, tokens, rank))
        return total

    def tokens_before(self, rank: int, rate: float, now: float) -> float:
        """Return the prompt tokens that are read before a new request's own.

        Args:
            rank: Rank of the new request.
            rate: Tokens that an engine reads in a second.
            now: Monotonic seconds.
        """
        waiting = float(sum(self.unread[: min(rank, RANKS - 1) + 1]))
        head = self.head
        if head is None:
            return waiting
        read = min(head.tokens, rate * (now - head.began_at))
        if head.rank <= rank:
            return waiting - read
        return waiting + head.tokens - read

    def note_head(self, head: ReadingHead) -> None:
        """Keep a prompt where it was sent before the one held."""
        if self.head is None or head.sent_at < self.head.sent_at:
            self.head = head
