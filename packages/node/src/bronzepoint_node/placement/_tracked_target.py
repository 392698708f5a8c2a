"""A target of this region, as known to one entry host."""

from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from bronzepoint_node.fleet import EngineProperties
from bronzepoint_node.quarantine import WatchedRun
from bronzepoint_node.targets import Health, HealthState
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.generated.target_loads import (
    EngineWord,
    PartUse,
    SpeedWord,
    TargetLoad,
)
from bronzepoint_schema.ids import HostName

from ._best_concurrency import BestConcurrency
from ._cache_estimate import CacheEstimate
from ._engine_load import NOTICE_EXPIRY, EngineLoad, OwnRun
from ._pace import Pace
from ._prompt import Prompt
from ._request_limit import RequestLimit
from ._target_speed import TargetSpeed

UNRESPONSIVE_AFTER = 0.25
"""Seconds of failed polls or connections after which a target counts as
unresponsive."""
CONTACT_VALIDITY = 1.0
"""Seconds after an answer for which this host ignores a report that a target is
unresponsive. The reporting host polls the target at least as often."""
ISOLATION_TIME = 1.2
"""Seconds for which a target is isolated when another host has a suspect on trial
there. That host repeats its report every second."""
TRIAL_INTERVAL = 1.0
"""Seconds between two requests of one host to an unresponsive target. A target that is
not polled could otherwise never be found responsive again."""


class Listing(Enum):
    """What the readings of the target list say of a target."""

    listed = "listed"
    missing = "missing"
    """The newest reading lacks it. It may be running, but gets no requests."""
    gone = "gone"


class EngineReport(Struct, frozen=True):
    """Load of an engine, as reported by itself."""

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int


@dataclass
class TrackedTarget:
    """A target with its listed data and the state observed by this host.

    Attributes:
        info: Its entry in the target list.
        cold_until: Until when it is cold, by this host's monotonic clock.
        load: Requests in progress of all hosts.
        pace: Its present writing speed, under its present load.
        speed: Its speed relative to the other targets of its service.
        concurrency: Number of requests up to which more of them are finished.
        events: Events of this host's streams that are not reported to other hosts yet.
        event_seconds: Seconds that these events took.
        unreached: Failed connections that are not reported to other hosts yet.
        reported_busy_at: When this host last reported requests of its own there.
        parts_sent: Shared parts that this host sent there since its last notice.
        report: Its last load report; None if there is none.
        report_at: When that report was requested.
        runs_at_report: Requests known to be in progress at that time.
        tokens_at_report: Memory of those requests, in tokens.
        unresponsive_since: Time of the first failure since its last answer; 0 if there
            is none.
        failed_reports: Number of failures since its last answer.
        last_contact_at: When it last answered this host.
        read_until: Send time of the newest request that it is known to have answered:
            it has read what was sent there before.
        listing: Whether the target list has it.
        reported_unresponsive: The host that polls the engines reports it as
            unresponsive.
        trial_at: When a request was last sent there although it was unresponsive.
        reopened_at: When its data center was last reopened.
        replaced: Another target answers at its address, although it is still listed.
        trials: Suspects of this host that are running there.
        limit: Request rate that it has limited itself to.
        isolated_until: Until when a suspect of another host may be on trial there.
        rests_until: Until when it wants no requests of this host.
        said_leaving: Whether it has told this host that it is leaving. Its list entry
            may be older, and stays so for a while.
    """

    info: TargetInfo
    engine: EngineProperties | None
    memory: CacheEstimate
    health: Health
    cold_until: float = 0.0
    load: EngineLoad = field(default_factory=EngineLoad)
    pace: Pace = field(default_factory=Pace)
    speed: TargetSpeed = field(default_factory=TargetSpeed)
    concurrency: BestConcurrency = field(default_factory=BestConcurrency)
    events: int = 0
    event_seconds: float = 0.0
    unreached: int = 0
    reported_busy_at: float = float("-inf")
    parts_sent: dict[str, int] = field(default_factory=dict)
    report: EngineReport | None = None
    report_at: float = float("-inf")
    runs_at_report: int = 0
    tokens_at_report: int = 0
    unresponsive_since: float = 0.0
    failed_reports: int = 0
    last_contact_at: float = float("-inf")
    read_until: float = float("-inf")
    listing: Listing = Listing.listed
    reported_unresponsive: bool = False
    trial_at: float = float("-inf")
    replaced: bool = False
    reopened_at: float = float("-inf")
    trials: set[WatchedRun] = field(default_factory=set)
    isolated_until: float = float("-inf")
    limit: RequestLimit = field(default_factory=RequestLimit)
    rests_until: float = float("-inf")
    said_leaving: bool = False

    @property
    def is_gone(self) -> bool:
        """Whether it has ended and reads nothing any more."""
        return self.listing is Listing.gone

    @property
    def slots(self) -> int:
        """Maximum number of requests that it serves concurrently."""
        return self.engine.slots if self.engine else max(1, self.info.slots)

    def free_tokens(self, now: float) -> float:
        """Return the known memory that running requests leave free, in tokens."""
        if self.engine is None:
            return float("inf")
        known = self.load.total(now).memory_tokens
        report = self.report
        if report is None:
            return self.engine.memory_tokens - known
        unknown = report.used_tokens - self.tokens_at_report
        if unknown > 0:
            known += unknown
        return (report.total_tokens or self.engine.memory_tokens) - known

    def missing_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt's shared parts that it doesn't hold yet.

        They take memory, too, but only once for all requests that share them.
        """
        return max(0, prompt.shared_tokens - self.memory.cached_tokens(prompt))

    def begin(
        self,
        run_id: str,
        prompt: Prompt | None,
        rank: int,
        now: float,
        cached: int = 0,
    ) -> int:
        """Add a request that is sent there; return the tokens that are read for it.

        Args:
            run_id: Name of this try.
            prompt: Its prompt; None if it has none.
            rank: Its priority.
            now: Monotonic seconds.
            cached: Tokens of the prompt that do not have to be read.
        """
        uncached = tokens = 0
        if prompt is not None:
            tokens = prompt.memory_tokens + self.missing_tokens(prompt)
            uncached = prompt.tokens - cached
            self.memory.note_used(prompt)
            self.parts_sent.update({p.name: p.tokens for p in prompt.parts[:-1]})
        self.load.begin(run_id, OwnRun(tokens, uncached, rank, now))
        return uncached

    def reserve(
        self, host: HostName, number: int, prompt: Prompt | None, run: OwnRun
    ) -> None:
        """Add a request that another host was granted.

        Args:
            host: That host.
            number: Number of its query.
            prompt: The request's prompt; None if it has none.
            run: The request.
        """
        if prompt is not None:
            self.memory.note_used(prompt)
        self.load.reserve(host, number, run)

    def note_events(self, events: int, seconds: float, now: float) -> None:
        """Record events of a stream of this host."""
        self.record_contact(now)
        self.pace.note(events, seconds, now)
        self.speed.note_events(events, seconds, now)
        self.concurrency.note_events(events)
        self.events += events
        self.event_seconds += seconds

    def apply_report(self, report: EngineReport, polled_at: float, runs: int) -> None:
        """Record a load report of the engine.

        Args:
            report: The report.
            polled_at: When it was requested.
            runs: Requests known to be in progress at that time.
        """
        self.report = report
        self.report_at = polled_at
        self.runs_at_report = runs
        self.tokens_at_report = self.load.memory_tokens(polled_at)
        self.record_contact(polled_at)
        self.record_read(polled_at)

    def apply_engine_status(self, status: EngineWord, now: float) -> None:
        """Record the engine status reported by the host that polls for all.

        This host's own observations take precedence in both directions, since a target
        may be unreachable for some hosts only.
        """
        self.reported_unresponsive = (
            status.silent and now - self.last_contact_at > CONTACT_VALIDITY
        )
        if status.age_ms < 0:
            return
        self.report = EngineReport(
            status.running,
            status.waiting,
            status.used_tokens,
            status.total_tokens,
        )
        self.report_at = now - status.age_ms / 1000
        self.runs_at_report = status.known_runs
        self.tokens_at_report = status.known_tokens
        self.record_read(self.report_at)

    def engine_status(self, now: float) -> EngineWord:
        """Return the engine's status, for hosts that do not poll it."""
        report = self.report or EngineReport(0, 0, 0, 0)
        age = int((now - self.report_at) * 1000) if self.report else -1
        return EngineWord(
            silent=is_unresponsive(self, now),
            age_ms=age,
            running=report.running,
            waiting=report.waiting,
            used_tokens=report.used_tokens,
            total_tokens=report.total_tokens,
            known_runs=self.runs_at_report,
            known_tokens=self.tokens_at_report,
        )

    def record_contact(self, now: float) -> None:
        """Record an answer of any kind, which proves that the target is reachable."""
        self.last_contact_at = now
        self.reported_unresponsive = False
        self.failed_reports = 0
        self.unresponsive_since = 0.0

    def record_read(self, sent_at: float) -> None:
        """Record that a request or poll which was sent at ``sent_at`` was answered."""
        self.read_until = max(self.read_until, sent_at)

    def record_limit(self, rate: float | None, now: float) -> bool:
        """Record the request limit that an answer to this host names.

        A change is reported to the other hosts at once.

        Args:
            rate: Requests per second; None: the answer names no limit.
            now: Monotonic seconds.

        Returns:
            Whether the limit has changed.
        """
        has_changed = self.limit.observe(rate, now)
        if has_changed:
            self.load.changed = True
        return has_changed

    def record_rest(self, seconds: float, now: float) -> None:
        """Record that it wants no requests of this host for some seconds.

        A shorter rest that it asks for meanwhile doesn't end the longer one.
        """
        self.rests_until = max(self.rests_until, now + seconds)

    def is_resting(self, now: float) -> bool:
        """Return whether it wants no requests of this host now."""
        return now < self.rests_until

    def record_failed_connection(self, now: float) -> None:
        """Record a failed connection, to be reported at once.

        Hosts that do not know of the crash would treat the target as idle.
        """
        self.unreached += 1
        self.load.changed = True
        self.record_failure(now)

    def record_replacement(self) -> None:
        """Take the target out of use until the list names its new incarnation.

        This is reported to the other hosts: otherwise each would treat the target as
        idle and send a request there that fails.
        """
        self.replaced = True
        self.load.changed = True

    def isolate(self, now: float) -> None:
        """Isolate the target because another host sends a suspect there."""
        self.isolated_until = now + ISOLATION_TIME

    def is_isolated(self, now: float) -> bool:
        """Return whether other requests should avoid it because of a suspect there."""
        if now < self.isolated_until:
            return True
        return bool(self.trials) and self._trials_now(now) > 0

    def _trials_now(self, now: float) -> int:
        return sum(run.is_on_trial(now) for run in self.trials)

    def is_unresponsive_here(self, now: float) -> bool:
        """Return whether it does not answer this host."""
        return (
            self.failed_reports > 1
            and now - self.unresponsive_since > UNRESPONSIVE_AFTER
        )

    def is_avoided_here(self, now: float) -> bool:
        """Return whether it does not answer this host and was retried recently."""
        return self.is_unresponsive_here(now) and now - self.trial_at <= TRIAL_INTERVAL

    def apply_load(self, host: HostName, load: TargetLoad, now: float) -> None:
        """Record the load report of another host and its observations."""
        self.load.apply_notice(host, load, now)
        for part in load.parts:
            self.memory.note_part(part.name, part.tokens)
        if load.word is not None:
            self.apply_engine_status(load.word, now)
        if load.events:
            self.pace.note(load.events, load.event_ms / 1000, now)
            self.speed.note_events(load.events, load.event_ms / 1000, now)
            self.concurrency.note_events(load.events)
            self.record_contact(now)
        if load.speed is not None:
            self._apply_speed(load.speed, now)
        self.replaced = self.replaced or load.replaced
        if load.trials:
            self.isolate(now)
        if load.limit_age_ms >= 0:
            self.limit.observe(load.limit_rate, now - load.limit_age_ms / 1000)
        for _ in range(load.unreached):
            self.record_failure(now)

    def _apply_speed(self, word: SpeedWord, now: float) -> None:
        self.speed.apply_copy(
            word.reading_permille, word.writing_permille, word.samples, now
        )
        if word.best_concurrency:
            self.concurrency.apply_copy(word.best_concurrency, now)

    def is_in_use(self, now: float) -> bool:
        """Return whether its load is part of full reports, which replace lost notices.

        That a target is idle has been reported once; with many idle targets it is not
        repeated every second.
        """
        is_recently_busy = now - self.reported_busy_at < NOTICE_EXPIRY
        is_limited = self.limit.rate is not None
        return bool(self.load.runs) or is_recently_busy or self.replaced or is_limited

    def report_load(self, now: float) -> TargetLoad:
        """Return this host's load and the observations that are not reported yet."""
        load = self.load.notice(self.info.incarnation, now)
        # Parts that other hosts send are in the engine's cache for this host's
        # requests, too.
        load.parts = [PartUse(*part) for part in self.parts_sent.items()]
        load.events, load.event_ms = self.events, round(self.event_seconds * 1000)
        load.unreached, load.replaced = self.unreached, self.replaced
        load.trials = self._trials_now(now)
        self.add_limit(load, now)
        if load.in_flight:
            self.reported_busy_at = now
        self.parts_sent.clear()
        self.events, self.event_seconds, self.unreached = 0, 0.0, 0
        self.load.changed = False
        return load

    def add_speed(self, load: TargetLoad, now: float) -> None:
        """Add the estimated speed to a report, so that the next scheduler knows it."""
        word = SpeedWord(*self.speed.reported(now), self.concurrency.reported(now))
        if word.samples or word.best_concurrency:
            load.speed = word

    def add_limit(self, load: TargetLoad, now: float) -> None:
        """Add the known request limit to a report, or that it has just ended."""
        age = now - self.limit.observed_at
        if self.limit.rate is None and age > NOTICE_EXPIRY:
            return
        load.limit_rate, load.limit_age_ms = self.limit.rate, round(age * 1000)

    def record_failure(self, now: float) -> None:
        """Record a missing load report or a failed connection."""
        self.failed_reports += 1
        if not self.unresponsive_since:
            self.unresponsive_since = now


def is_ejected(tracked: TrackedTarget) -> bool:
    """Return whether a target gets no requests because of its failures."""
    return tracked.health.state is HealthState.ejected


def is_unresponsive(tracked: TrackedTarget, now: float) -> bool:
    """Return whether an engine is unresponsive, for example behind a partition."""
    return tracked.reported_unresponsive or tracked.is_unresponsive_here(now)
