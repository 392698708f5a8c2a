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
    leave a prompt that it has begun: behind a very long one everything waits. One would
    notice short requests that are late at an engine with few requests in progress. So
    the prompt that is being read is told from the rest.

    Attributes:
        runs: This host's requests.
        changed: This host's part isn't what the others were told last.
    """

    runs: dict[str, OwnRun] = field(default_factory=dict)
    changed: bool = False
    _others: dict[HostName, tuple[float, TargetLoad]] = field(default_factory=dict)
    _total: LoadSum | None = None
    _total_holds_until: float = 0.0
    _reserved: dict[tuple[HostName, int], OwnRun] = field(default_factory=dict)
    _began_at: float = 0.0

    def begin(self, run_id: str, run: OwnRun) -> None:
        """Count a request that is sent there."""
        if not self._unstarted():
            self._began_at = run.sent_at
        self.runs[run_id] = run
        self._note_changed()

    def note_started(self, run_id: str, now: float) -> None:
        """Count a request whose first event has come: the next prompt is read."""
        run = self.runs.get(run_id)
        if run is not None and not run.started:
            run.started = True
            self._began_at = now
            self._note_changed()

    def end(self, run_id: str) -> None:
        """Count a request no more."""
        if self.runs.pop(run_id, None) is not None:
            self._note_changed()

    def reserve(self, host: HostName, number: int, run: OwnRun) -> None:
        """Count a request that another host was told to send there.

        Args:
            host: That host.
            number: Its ask; it names it once its own part holds the request.
            run: The request.
        """
        self._reserved[host, number] = run
        self._total = None

    def settle(self, host: HostName, numbers: Iterable[int]) -> None:
        """Count what was reserved no more: its host's own part tells of it."""
        for number in numbers:
            if self._reserved.pop((host, number), None) is not None:
                self._total = None

    def take_notice(self, host: HostName, load: TargetLoad, now: float) -> None:
        """Take in another host's part."""
        self._others[host] = (now, load)
        self._total = None

    def forget_others(self) -> None:
        """Drop all words of other hosts, as they come by another way from now on."""
        self._others.clear()
        self._reserved.clear()
        self._total = None

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

    def notice_without(
        self, host: HostName, incarnation: str, now: float
    ) -> TargetLoad:
        """Return what all but one host have there, in the form of one host's part."""
        total = self.total(now)
        nothing = TargetLoad(incarnation, 0, 0, [0] * RANKS, 0, 0, 0)
        at, own = self._others.get(host, (now, nothing))
        if now - at >= NOTICE_EXPIRY:
            own = nothing
        head = total.head
        if head is not None and own.head_tokens:
            own_sent_at = at - own.head_age_ms / 1000
            if own_sent_at <= head.sent_at:
                head = None
        unread = zip(total.unread, own.unread, strict=True)
        return TargetLoad(
            incarnation=incarnation,
            in_flight=max(0, total.in_flight - own.in_flight),
            memory_tokens=max(0, total.memory_tokens - own.memory_tokens),
            unread=[max(0, tokens - told) for tokens, told in unread],
            head_tokens=head.tokens if head else 0,
            head_rank=head.rank if head else 0,
            head_age_ms=int((now - head.began_at) * 1000) if head else 0,
        )

    def in_flight(self, now: float) -> int:
        """Return the requests in progress there."""
        return self.total(now).in_flight

    def memory_tokens(self, now: float) -> int:
        """Return the memory that they take up."""
        return self.total(now).memory_tokens

    def tokens_before(self, rank: int, rate: float, now: float) -> float:
        """Return the prompt tokens that are read before a new request's own."""
        return self.total(now).tokens_before(rank, rate, now)

    def total(self, now: float) -> LoadSum:
        """Return what all hosts have there together.

        Every choice asks for it at every target, and few of them have changed since the
        last one: it is kept until one does, or a word of it grows old.
        """
        if self._total is None or now >= self._total_holds_until:
            self._total = self._add_up(now)
        return self._total

    def _add_up(self, now: float) -> LoadSum:
        self._reserved = {
            key: run
            for key, run in self._reserved.items()
            if now - run.sent_at < RESERVED_FOR
        }
        words = self._fresh(now).values()
        until = [at + NOTICE_EXPIRY for at, _ in words]
        until += [run.sent_at + RESERVED_FOR for run in self._reserved.values()]
        self._total_holds_until = min(until, default=float("inf"))
        total = LoadSum.of(words)
        for run in (*self.runs.values(), *self._reserved.values()):
            total.in_flight += 1
            total.memory_tokens += run.tokens
            if not run.started:
                total.unread[min(run.rank, RANKS - 1)] += run.uncached
        head = min(self._unstarted(), key=lambda run: run.sent_at, default=None)
        if head is not None and head.uncached:
            began_at = max(head.sent_at, self._began_at)
            total.note_head(
                ReadingHead(head.sent_at, began_at, head.uncached, head.rank)
            )
        return total

    def _note_changed(self) -> None:
        self.changed = True
        self._total = None

    def _unstarted(self) -> list[OwnRun]:
        return [run for run in self.runs.values() if not run.started]

    def _fresh(self, now: float) -> dict[HostName, tuple[float, TargetLoad]]:
        return {
            host: word
            for host, word in self._others.items()
            if now - word[0] < NOTICE_EXPIRY
        }
