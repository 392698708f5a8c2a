"""How much lies before a new request at one engine, from what all hosts have sent."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_schema.generated.target_loads import TargetLoad
from bronzepoint_schema.ids import HostName

from ._load_sum import RANKS, LoadSum, ReadingHead

NOTICE_EXPIRY = 3.0
"""Seconds after which the word of a host that says no more counts for nothing."""
RESERVED_FOR = 1.0
"""Seconds for which a granted request counts, if its host tells nothing of it: a host
that lives has told all that it has in progress by then."""


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
    _others_sum: LoadSum | None = None
    _sum_holds_until: float = 0.0
    _reserved: dict[tuple[HostName, int], OwnRun] = field(default_factory=dict)
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

    def reserve(self, host: HostName, number: int, run: OwnRun) -> None:
        """Count a request that another host was told to send there.

        Args:
            host: That host.
            number: Its ask; it names it once its own part holds the request.
            run: The request.
        """
        self._reserved[host, number] = run

    def settle(self, host: HostName, numbers: Iterable[int]) -> None:
        """Count what was reserved no more: its host's own part tells of it."""
        for number in numbers:
            self._reserved.pop((host, number), None)

    def take_notice(self, host: HostName, load: TargetLoad, now: float) -> None:
        """Take in another host's part."""
        self._others[host] = (now, load)
        self._others_sum = None

    def forget_others(self) -> None:
        """Drop all words of other hosts, as they come by another way from now on."""
        self._others.clear()
        self._reserved.clear()
        self._others_sum = None

    def words(
        self, own_name: HostName, incarnation: str, now: float
    ) -> dict[HostName, tuple[float, TargetLoad]]:
        """Return each host's part that is known, this host's own among them."""
        return {**self._fresh(now), own_name: (now, self.notice(incarnation, now))}

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
        reserved = len(self._live_reserved(now))
        return len(self.runs) + reserved + self._sum_of_others(now).in_flight

    def memory_tokens(self, now: float) -> int:
        """Return the memory that they take up."""
        own = sum(run.tokens for run in self.runs.values())
        own += sum(run.tokens for run in self._live_reserved(now))
        return own + self._sum_of_others(now).memory_tokens

    def tokens_before(self, rank: int, rate: float, now: float) -> float:
        """Return the prompt tokens that are read before a new request's own.

        Args:
            rank: Rank of the new request.
            rate: Tokens that an engine reads in a second.
            now: Monotonic seconds.
        """
        others = self._sum_of_others(now)
        waiting = float(sum(others.unread[: min(rank, RANKS - 1) + 1]))
        head, began = others.head, others.head.sent_at if others.head else now
        for run in (*self._unstarted(), *self._live_reserved(now)):
            if min(run.rank, RANKS - 1) <= min(rank, RANKS - 1):
                waiting += run.uncached
        own = min(self._unstarted(), key=lambda run: run.sent_at, default=None)
        if own and own.uncached and (head is None or own.sent_at < head.sent_at):
            head = ReadingHead(own.sent_at, own.uncached, own.rank)
            began = max(own.sent_at, self._began_at)
        if head is None:
            return waiting
        read = min(head.tokens, rate * (now - began))
        if head.rank <= rank:
            return waiting - read
        return waiting + head.tokens - read

    def _unstarted(self) -> list[OwnRun]:
        return [run for run in self.runs.values() if not run.started]

    def _live_reserved(self, now: float) -> list[OwnRun]:
        if not self._reserved:
            return []
        self._reserved = {
            key: run
            for key, run in self._reserved.items()
            if now - run.sent_at < RESERVED_FOR
        }
        return list(self._reserved.values())

    def _sum_of_others(self, now: float) -> LoadSum:
        """Return the sum of the other hosts' parts.

        A region's every choice asks for it at every target, and each time all hosts
        were added up anew: it is kept until a word comes or grows old.
        """
        if self._others_sum is None or now >= self._sum_holds_until:
            words = self._fresh(now).values()
            self._others_sum = LoadSum.of(words)
            oldest = min((at for at, _ in words), default=now)
            self._sum_holds_until = oldest + NOTICE_EXPIRY
        return self._others_sum

    def _fresh(self, now: float) -> dict[HostName, tuple[float, TargetLoad]]:
        return {
            host: word
            for host, word in self._others.items()
            if now - word[0] < NOTICE_EXPIRY
        }
