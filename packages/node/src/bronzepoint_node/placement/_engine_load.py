"""Load of one engine, aggregated from the reports of all hosts of the region."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_schema.generated.target_loads import TargetLoad
from bronzepoint_schema.ids import HostName

from ._load_sum import (
    RANK_COUNT,
    CurrentPrompt,
    LoadSum,
    report_unread,
    unread_by_rank,
)
from ._reading_share import ReadingShare
from ._reported_loads import ReportedLoads

NOTICE_EXPIRY = 3.0
"""Seconds after which the last report of a host is ignored, if no newer one arrives."""
RESERVATION_EXPIRY = 1.0
"""Seconds for which a granted request counts without a report from its host. A live
host has reported all its requests in progress by then."""


@dataclass
class OwnRun:
    """A request of this host that is in progress at a target.

    Attributes:
        tokens: Memory that it occupies, in tokens.
        uncached: Prompt tokens that the engine has to read.
        rank: Priority; 0 is the most urgent.
        sent_at: When it was sent.
        started: Its first event has arrived.
    """

    tokens: int
    uncached: int
    rank: int
    sent_at: float
    started: bool = False


@dataclass
class EngineLoad:
    """The requests of all entry hosts of the region at one target.

    An engine reads prompts one at a time, by priority, and does not interrupt a prompt
    that it has begun. All requests wait behind a very long prompt, so that short
    requests are late even at an engine with few others. The prompt that is being read
    is therefore tracked separately from the queued ones.

    Attributes:
        runs: This host's requests.
        changed: This host's load differs from what it last reported.
        reading: What it was given to read recently.
    """

    runs: dict[str, OwnRun] = field(default_factory=dict)
    changed: bool = False
    reading: ReadingShare = field(default_factory=ReadingShare)
    _others: ReportedLoads = field(default_factory=lambda: ReportedLoads(NOTICE_EXPIRY))
    _total: LoadSum | None = None
    _total_valid_until: float = 0.0
    _reserved: dict[tuple[HostName, int], OwnRun] = field(default_factory=dict)
    _reading_since: float = 0.0

    def begin(self, run_id: str, run: OwnRun) -> None:
        """Add a request that is sent to the target."""
        if not self._unstarted():
            self._reading_since = run.sent_at
        self.runs[run_id] = run
        self.reading.note_reported(run.uncached, run.sent_at)
        self._mark_changed()

    def note_started(self, run_id: str, now: float) -> None:
        """Mark a request as started: its prompt has been read."""
        run = self.runs.get(run_id)
        if run is not None and not run.started:
            run.started = True
            self._reading_since = now
            self._mark_changed()

    def end(self, run_id: str) -> None:
        """Remove a request that has ended."""
        if self.runs.pop(run_id, None) is not None:
            self._mark_changed()

    def reserve(self, host: HostName, number: int, run: OwnRun) -> None:
        """Add a request that another host was granted.

        Args:
            host: That host.
            number: Number of its query, which its own load report refers to once it
                includes the request.
            run: The request.
        """
        self._reserved[host, number] = run
        self._total = None

    def settle(self, host: HostName, numbers: Iterable[int]) -> None:
        """Remove reservations that the host's own load report now includes."""
        for number in numbers:
            if self._reserved.pop((host, number), None) is not None:
                self._total = None

    def apply_notice(self, host: HostName, load: TargetLoad, now: float) -> None:
        """Record the load report of another host."""
        former = self._others.get(host, now)
        unread = sum(load.unread) - (sum(former[1].unread) if former else 0)
        if unread > 0:
            self.reading.note_reported(unread, now)
        self._others.replace(host, load, now)
        self._total = None

    def forget_others(self) -> None:
        """Drop all data of other hosts, before switching to another source."""
        self._others.clear()
        self._reserved.clear()
        self._total = None

    def notice(self, incarnation: str, now: float) -> TargetLoad:
        """Return this host's load, as reported to the other hosts."""
        unread = [0] * RANK_COUNT
        for run in self._unstarted():
            unread[min(run.rank, RANK_COUNT - 1)] += run.uncached
        head = min(self._unstarted(), key=lambda run: run.sent_at, default=None)
        load = TargetLoad(
            incarnation=incarnation,
            in_flight=len(self.runs),
            memory_tokens=sum(run.tokens for run in self.runs.values()),
            unread=[],
            head_tokens=head.uncached if head else 0,
            head_rank=head.rank if head else 0,
            head_age_ms=int((now - head.sent_at) * 1000) if head else 0,
        )
        report_unread(load, unread)
        return load

    def notice_without(
        self, host: HostName, incarnation: str, now: float
    ) -> TargetLoad:
        """Return the load of all hosts but one, as a single report."""
        total = self.total(now)
        nothing = TargetLoad(incarnation, 0, 0, [0] * RANK_COUNT, 0, 0, 0)
        at, own = self._others.get(host, now) or (now, nothing)
        head = total.head
        if head is not None and own.head_tokens:
            own_sent_at = at - own.head_age_ms / 1000
            if own_sent_at <= head.sent_at:
                head = None
        unread = zip(total.unread, unread_by_rank(own), strict=True)
        load = TargetLoad(
            incarnation=incarnation,
            in_flight=max(0, total.in_flight - own.in_flight),
            memory_tokens=max(0, total.memory_tokens - own.memory_tokens),
            unread=[],
            head_tokens=head.tokens if head else 0,
            head_rank=head.rank if head else 0,
            head_age_ms=int((now - head.began_at) * 1000) if head else 0,
        )
        report_unread(load, [max(0, tokens - reported) for tokens, reported in unread])
        return load

    def in_flight(self, now: float) -> int:
        """Return the number of requests in progress."""
        total = self._total
        if total is None or now >= self._total_valid_until:
            total = self.total(now)
        return total.in_flight

    def memory_tokens(self, now: float) -> int:
        """Return the memory that they occupy, in tokens."""
        return self.total(now).memory_tokens

    def tokens_before(self, rank: int, rate: float, now: float) -> float:
        """Return the prompt tokens that are read before those of a new request."""
        return self.total(now).tokens_before(rank, rate, now)

    def total(self, now: float) -> LoadSum:
        """Return the load of all hosts together.

        Every choice needs the sum of every target, and few sums change between two
        choices. The sum is cached until a load changes or a report in it expires.
        """
        if self._total is None or now >= self._total_valid_until:
            self._total = self._compute_total(now)
        return self._total

    def _compute_total(self, now: float) -> LoadSum:
        self._reserved = {
            key: run
            for key, run in self._reserved.items()
            if now - run.sent_at < RESERVATION_EXPIRY
        }
        total = self._others.total(now)
        until = [run.sent_at + RESERVATION_EXPIRY for run in self._reserved.values()]
        self._total_valid_until = min(until, default=float("inf"))
        self._total_valid_until = min(
            self._total_valid_until, self._others.valid_until()
        )
        for run in (*self.runs.values(), *self._reserved.values()):
            total.in_flight += 1
            total.memory_tokens += run.tokens
            if not run.started:
                total.unread[min(run.rank, RANK_COUNT - 1)] += run.uncached
        head = min(self._unstarted(), key=lambda run: run.sent_at, default=None)
        if head is not None and head.uncached:
            began_at = max(head.sent_at, self._reading_since)
            total.update_head(
                CurrentPrompt(head.sent_at, began_at, head.uncached, head.rank)
            )
        return total

    def _mark_changed(self) -> None:
        self.changed = True
        self._total = None

    def _unstarted(self) -> list[OwnRun]:
        return [run for run in self.runs.values() if not run.started]
