"""The load of one target, added up over the hosts of a region."""

from dataclasses import dataclass

from bronzepoint_schema.generated.target_loads import TargetLoad
from bronzepoint_schema.ids import HostName


@dataclass(frozen=True)
class Head:
    """A request that waits for its first token.

    Attributes:
        sent_at: When it was sent, by the own monotonic clock.
        host: The host that sent it.
        tokens: Prompt tokens that the engine has to read for it.
        rank: How urgent it is.
    """

    sent_at: float
    host: HostName
    tokens: int
    rank: int


@dataclass(frozen=True)
class LoadTotal:
    """What all hosts have in progress at one target.

    Attributes:
        words: Each host's part, with the time that it speaks of.
        in_flight: Requests in progress.
        memory_tokens: Memory that they take up.
        unread: Prompt tokens that are yet to be read, by rank.
        heads: The request that each host has waiting longest, the oldest first.
    """

    words: dict[HostName, tuple[float, TargetLoad]]
    in_flight: int
    memory_tokens: int
    unread: list[int]
    heads: list[Head]

    def without(self, host: HostName, incarnation: str, now: float) -> TargetLoad:
        """Return what the others of a host have there, in the form of one host's part.

        Args:
            host: The host that is told: it knows its own part better.
            incarnation: The target.
            now: Monotonic seconds.
        """
        in_flight, memory_tokens, unread = (
            self.in_flight,
            self.memory_tokens,
            self.unread,
        )
        if host in self.words:
            _, own = self.words[host]
            in_flight -= own.in_flight
            memory_tokens -= own.memory_tokens
            unread = [a - b for a, b in zip(unread, own.unread, strict=True)]
        head = next((head for head in self.heads if head.host != host), None)
        return TargetLoad(
            incarnation=incarnation,
            in_flight=in_flight,
            memory_tokens=memory_tokens,
            unread=unread,
            head_tokens=head.tokens if head else 0,
            head_rank=head.rank if head else 0,
            head_age_ms=int((now - head.sent_at) * 1000) if head else 0,
        )


def add_up(words: dict[HostName, tuple[float, TargetLoad]]) -> LoadTotal:
    """Return the sum of what several hosts said of one target."""
    loads = [load for _, load in words.values()]
    heads = [
        Head(at - load.head_age_ms / 1000, host, load.head_tokens, load.head_rank)
        for host, (at, load) in words.items()
        if load.head_tokens
    ]
    return LoadTotal(
        words=words,
        in_flight=sum(load.in_flight for load in loads),
        memory_tokens=sum(load.memory_tokens for load in loads),
        unread=[
            sum(column) for column in zip(*(load.unread for load in loads), strict=True)
        ],
        heads=sorted(heads, key=lambda head: head.sent_at),
    )
