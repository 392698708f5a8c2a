"""Sum of the loads of several hosts at one target."""

from msgspec import Struct

from bronzepoint_schema.generated.target_loads import TargetLoad

RANK_COUNT = 10
"""Number of ranks that are distinguished, as by the targets. Requests of a less urgent
rank count with the last one."""
REPORTED_COUNT = 4
"""Length of `TargetLoad.unread`. Earlier hosts accept no longer list, so the ranks from
the last entry on are reported separately."""

LAST_RANK = RANK_COUNT - 1


class CurrentPrompt(Struct, frozen=True):
    """The prompt that is being read: the unread prompt that was sent first.

    Attributes:
        sent_at: When it was sent, by this host's monotonic clock.
        began_at: Estimated time at which the engine began to read it.
        tokens: Prompt tokens that the engine has to read.
        rank: Priority; 0 is the most urgent.
    """

    sent_at: float
    began_at: float
    tokens: int
    rank: int


class LoadSum(Struct):
    """Load of a target, added up over hosts.

    Attributes:
        in_flight: Requests in progress.
        memory_tokens: Memory that they occupy, in tokens.
        unread: Prompt tokens that are not read yet, by rank.
        head: The prompt that is being read; None if there is none.
        reported: The part of the requests that other hosts have reported. The rest is
            known without delay.
    """

    in_flight: int
    memory_tokens: int
    unread: list[int]
    head: CurrentPrompt | None
    reported: int = 0

    @property
    def is_quiet(self) -> bool:
        """Return whether every request has started, as far as is known."""
        # Reports do not say whether requests without a prompt have started.
        has_prompts = self.memory_tokens > 0
        if self.in_flight and not has_prompts:
            return False
        return self.head is None and not any(self.unread)

    def tokens_before(self, rank: int, rate: float, now: float) -> float:
        """Return the prompt tokens that are read before those of a new request.

        Args:
            rank: Rank of the new request.
            rate: Tokens that an engine reads per second.
            now: Monotonic seconds.
        """
        waiting = 0.0
        for tokens in self.unread if rank >= LAST_RANK else self.unread[: rank + 1]:
            waiting += tokens
        head = self.head
        if head is None:
            return waiting
        read = min(head.tokens, rate * (now - head.began_at))
        if head.rank <= rank:
            return waiting - read
        return waiting + head.tokens - read

    def update_head(self, head: CurrentPrompt) -> None:
        """Replace the current prompt if the given one was sent earlier."""
        if self.head is None or head.sent_at < self.head.sent_at:
            self.head = head


def unread_by_rank(load: TargetLoad) -> list[int]:
    """Return the unread prompt tokens of a report by rank, for all ranks."""
    first = load.unread[: REPORTED_COUNT - 1]
    further = load.unread_further or load.unread[REPORTED_COUNT - 1 :]
    return [*first, *further, *[0] * RANK_COUNT][:RANK_COUNT]


def report_unread(load: TargetLoad, unread: list[int]) -> None:
    """Set the unread prompt tokens of a report.

    Args:
        load: The report.
        unread: Tokens by rank, for all ranks.
    """
    last = REPORTED_COUNT - 1
    load.unread = [*unread[:last], sum(unread[last:])]
    load.unread_further = unread[last:] if any(unread[last + 1 :]) else []
