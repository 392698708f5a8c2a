"""How much lies before a new request at one engine, from what all hosts have sent."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_schema.generated.target_loads import TargetLoad
from bronzepoint_schema.ids import HostName

RANKS = 4
"""Ranks that are told apart; less urgent ones count as the last."""
NOTICE_EXPIRY = 3.0
"""Seconds after which the word of a host that says no more counts for nothing."""


@dataclass
class OwnRun:
    """A request of this host at a target.

    Attributes:
        tokens: Memory that it takes up.
        uncached: Prompt tokens that the engine has to read.
        rank: How urgent it is; 0 goes first.
        sent_at: When it was sent.
        started: True once the first event has come.
    """

    tokens: int
    uncached: int
    rank: int
    sent_at: float
    started: bool = False


@dataclass
class EngineLoad:
    """The requests of all entry hosts of the region at one target.

    An engine reads one prompt after the other, the urgent ones first, but it doesn't
    leave a prompt that it has begun: behind one of 40,000 tokens everything waits for
    a second. One would notice short requests that are late at an engine with few
    requests in progress. So the prompt that is being read is told from the rest.

    Attributes:
        runs: This host's requests.
        changed: This host's part isn't what the others were told last.
    """

    runs: dict[str, OwnRun] = field(default_factory=dict)
    changed: bool = False
    _others: dict[HostName, tuple[float, TargetLoad]] = field(default_factory=dict)
    _began_at: float = 0.0

    def begin(self, run_id: str, run: OwnRun) -> None:
        """Count a request that is sent there."""
        if not self._unstarted():
            self._began_at = run.sent_at
        self.runs[run_id] = run
        self.changed = True

    def note_started(self, run_id: str, now: float) -> None:
        """Count a request whose first event has come: the next prompt is read."""
        run = self.runs.get(run_id)
        if run is not None and not run.started:
            run.started = True
            self.changed = True
            self._began_at = now

    def end(self, run_id: str) -> None:
        """Count a request no more."""
        if self.runs.pop(run_id, None) is not None:
            self.changed = True

    def take_notice(self, host: HostName, load: TargetLoad, now: float) -> None:
        """Take in another host's part."""
        self._others[host] = (now, load)

    def forget_others(self) -> None:
        """Drop all words of other hosts, as they come by another way from now on."""
        self._others.clear()

    def words(
        self, own_name: HostName, incarnation: str, now: float
    ) -> dict[HostName, tuple[float, TargetLoad]]:
        """Return each host's part that is known, this host's own among them."""
        words = {
            host: word
            for host, word in self._others.items()
            if now - word[0] < NOTICE_EXPIRY
        }
        return {**words, own_name: (now, self.notice(incarnation, now))}

    def notice(self, incarnation: str, now: float) -> TargetLoad:
        """Return this host's part, for the others."""
        unread = [0] * RANKS
        for run in self._unstarted():
            unread[min(run.rank, RANKS - 1)] += run.uncached
        head = min(self._unstarted(), key=lambda run: run.sent_at, default=None)
        return TargetLoad(
            incarnation=incarnation,
            in_flight=len(self.runs),
            memory_tokens=sum(run.tokens for run in self.runs.values()),
            unread=unread,
            head_tokens=head.uncached if head else 0,
            head_rank=head.rank if head else 0,
            head_age_ms=int((now - head.sent_at) * 1000) if head else 0,
        )

    def in_flight(self, now: float) -> int:
        """Return the requests in progress there."""
        return len(self.runs) + sum(load.in_flight for _, load in self._fresh(now))

    def memory_tokens(self, now: float) -> int:
        """Return the memory that they take up."""
        own = sum(run.tokens for run in self.runs.values())
        return own + sum(load.memory_tokens for _, load in self._fresh(now))

    def tokens_before(self, rank: int, rate: float, now: float) -> float:
        """Return the prompt tokens that are read before a new request's own.

        Args:
            rank: Rank of the new request.
            rate: Tokens that an engine reads in a second.
            now: Monotonic seconds.
        """
        own = self.notice("", now)
        words = [(now, own), *self._fresh(now)]
        waiting = 0.0
        for _, load in words:
            waiting += sum(load.unread[: min(rank, RANKS - 1) + 1])
        heads = [
            (at - load.head_age_ms / 1000, load)
            for at, load in words
            if load.head_tokens
        ]
        if not heads:
            return waiting
        sent_at, head = min(heads, key=lambda item: item[0])
        began = max(sent_at, self._began_at if head is own else sent_at)
        read = min(head.head_tokens, rate * (now - began))
        if head.head_rank <= rank:
            return waiting - read
        return waiting + head.head_tokens - read

    def _unstarted(self) -> list[OwnRun]:
        return [run for run in self.runs.values() if not run.started]

    def _fresh(self, now: float) -> Iterable[tuple[float, TargetLoad]]:
        return [
            (at, load) for at, load in self._others.values() if now - at < NOTICE_EXPIRY
        ]
