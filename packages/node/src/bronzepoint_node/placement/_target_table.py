"""The targets of this region, as one entry host sees them."""

from dataclasses import dataclass, field

from msgspec import Struct

from bronzepoint_common.logs import get_logger
from bronzepoint_node.fleet import EngineFacts, ServedService
from bronzepoint_node.targets import Health, HealthState, find_ejections, find_return
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.generated.target_loads import EngineWord
from bronzepoint_schema.ids import DataCenterName

from ._engine_load import EngineLoad, OwnRun
from ._pace import Pace
from ._part_memory import PartMemory
from ._prompt import Prompt

HEARD = frozenset({TryResult.answered, TryResult.refused_by_target})
"""Results that prove that a target can be reached."""
COLD_MARGIN = 0.3
"""Seconds added to the time for which a target says that it stays cold."""
SILENT_AFTER = 0.25
"""Seconds of failed answers after which an engine counts as gone."""
HEARD_LATELY = 1.0
"""Seconds after an answer in which this host doesn't believe that a target is silent:
the host that says so asks at least as often."""
REOPENED_COLD_MARGIN = 1.0
"""Seconds added to a service's cold time where a data center is opened again: the
list that tells of the cold targets lags."""

_log = get_logger("targets")


class EngineReport(Struct, frozen=True):
    """What an engine says of its load, as of a moment ago."""

    running: int
    waiting: int
    used_tokens: int
    total_tokens: int


@dataclass
class Tracked:
    """One target: what the list says, and what this host has seen of it.

    Attributes:
        info: What the list says.
        cold_until: Until when it is cold, by the own clock.
        load: What all hosts have in progress there.
        pace: How fast it writes.
        parts_sent: Shared parts that this host sent there since its last notice.
        report: What it said last; None: nothing yet.
        report_at: When that was asked.
        runs_at_report: Requests known to be there at that moment.
        tokens_at_report: Memory of those.
        silent_since: When it first failed to answer, since it last did; 0: it does.
        failed_reports: Times that it didn't answer since.
        heard_at: When it answered this host last.
        told_silent: The host that asks engines for all says that it is silent.
        trial_at: When a request was last sent there though it was silent.
        reopened_at: When its data center was opened to it again.
        replaced: Another target answers at its address, though it is listed still.
    """

    info: TargetInfo
    engine: EngineFacts | None
    memory: PartMemory
    health: Health
    cold_until: float = 0.0
    load: EngineLoad = field(default_factory=EngineLoad)
    pace: Pace = field(default_factory=Pace)
    parts_sent: dict[str, int] = field(default_factory=dict)
    report: EngineReport | None = None
    report_at: float = float("-inf")
    runs_at_report: int = 0
    tokens_at_report: int = 0
    silent_since: float = 0.0
    failed_reports: int = 0
    heard_at: float = float("-inf")
    told_silent: bool = False
    trial_at: float = float("-inf")
    replaced: bool = False
    reopened_at: float = float("-inf")

    @property
    def slots(self) -> int:
        """Requests that it works on at once."""
        return self.engine.slots if self.engine else max(1, self.info.slots)

    def free_tokens(self, now: float) -> float:
        """Return the memory that running requests leave, as far as is known."""
        if self.engine is None:
            return float("inf")
        known = self.load.memory_tokens(now)
        if self.report is None:
            return self.engine.memory_tokens - known
        unknown = max(0, self.report.used_tokens - self.tokens_at_report)
        return (self.report.total_tokens or self.engine.memory_tokens) - known - unknown

    def begin(
        self,
        run_id: str,
        prompt: Prompt | None,
        rank: int,
        now: float,
        cached: int = 0,
    ) -> int:
        """Count a request that is sent there; return the tokens that are read for it.

        Args:
            run_id: Name of this try.
            prompt: Its prompt; None: it has none.
            rank: How urgent it is.
            now: Monotonic seconds.
            cached: Tokens of the prompt that needn't be read.
        """
        uncached = tokens = 0
        if prompt is not None:
            tokens = prompt.memory_tokens
            uncached = prompt.tokens - cached
            self.memory.note_used(prompt)
            self.parts_sent.update({p.name: p.tokens for p in prompt.parts[:-1]})
        self.load.begin(run_id, OwnRun(tokens, uncached, rank, now))
        return uncached

    def take_report(self, report: EngineReport, asked_at: float, runs: int) -> None:
        """Take in what the engine said.

        Args:
            report: Its words.
            asked_at: When it was asked.
            runs: Requests known to be there at that moment.
        """
        self.report = report
        self.report_at = asked_at
        self.runs_at_report = runs
        self.tokens_at_report = self.load.memory_tokens(asked_at)
        self.note_heard(asked_at)

    def take_word(self, word: EngineWord, now: float) -> None:
        """Take in what the engine said to the host that asks for all.

        What this host has seen itself goes first, either way: a target may be out of
        reach for some hosts only.
        """
        self.told_silent = word.silent and now - self.heard_at > HEARD_LATELY
        if word.age_ms < 0:
            return
        self.report = EngineReport(
            word.running, word.waiting, word.used_tokens, word.total_tokens
        )
        self.report_at = now - word.age_ms / 1000
        self.runs_at_report = word.known_runs
        self.tokens_at_report = word.known_tokens

    def word(self, now: float) -> EngineWord:
        """Return what the engine said, for hosts that don't ask it."""
        report = self.report or EngineReport(0, 0, 0, 0)
        age = int((now - self.report_at) * 1000) if self.report else -1
        return EngineWord(
            silent=is_silent(self, now),
            age_ms=age,
            running=report.running,
            waiting=report.waiting,
            used_tokens=report.used_tokens,
            total_tokens=report.total_tokens,
            known_runs=self.runs_at_report,
            known_tokens=self.tokens_at_report,
        )

    def note_heard(self, now: float) -> None:
        """Count an answer of any kind: the target can be reached."""
        self.heard_at = now
        self.told_silent = False
        self.failed_reports = 0
        self.silent_since = 0.0

    def note_silent(self, now: float) -> None:
        """Count a report that did not come, or a connection that was not made."""
        self.failed_reports += 1
        if not self.silent_since:
            self.silent_since = now


class TargetTable:
    """Keeps the targets of one region up to date with the list."""

    def __init__(self) -> None:
        self.closed: frozenset[DataCenterName] = frozenset()
        self._targets: dict[str, Tracked] = {}
        self._services: dict[str, ServedService] = {}

    def update(
        self,
        listed: list[TargetInfo],
        age: float,
        services: dict[str, ServedService],
        closed: frozenset[DataCenterName],
        now: float,
    ) -> None:
        """Take in a reading of the list.

        Args:
            listed: Targets of this region.
            age: Seconds since the reading.
            services: What the catalogue says of their services.
            closed: Data centers whose targets get nothing.
            now: Monotonic seconds.
        """
        self._services = services
        reopened = self.closed - closed
        self.closed = closed
        names = {info.incarnation for info in listed}
        for name in [name for name in self._targets if name not in names]:
            del self._targets[name]
        for info in listed:
            self._take(info, age, now)
        for tracked in self._targets.values():
            if tracked.info.data_center in reopened:
                self._count_cold(tracked, now)

    def _take(self, info: TargetInfo, age: float, now: float) -> None:
        service = self._services.get(info.service)
        tracked = self._targets.get(info.incarnation)
        if tracked is None:
            engine = service.engine if service else None
            memory = PartMemory(engine.memory_tokens if engine else 0)
            tracked = Tracked(info, engine, memory, Health())
            self._targets[info.incarnation] = tracked
        elif tracked.engine is None and service is not None and service.engine:
            tracked.engine = service.engine
            tracked.memory = PartMemory(service.engine.memory_tokens)
        if info.leaving and not tracked.info.leaving:
            _log.info("target leaves", target=info.incarnation, address=info.address)
        tracked.info = info
        if info.cold_ms > 0:
            cold_until = now - age + info.cold_ms / 1000 + COLD_MARGIN
            tracked.cold_until = max(tracked.cold_until, cold_until)
        elif now - age > tracked.reopened_at + COLD_MARGIN:
            # The list was read after the opening: it knows better.
            tracked.cold_until = min(tracked.cold_until, now)

    def _count_cold(self, tracked: Tracked, now: float) -> None:
        """Count a target as cold whose data center has just been opened again."""
        service = self._services.get(tracked.info.service)
        if service is not None and service.cold_time > 0:
            tracked.reopened_at = now
            until = now + service.cold_time + REOPENED_COLD_MARGIN
            tracked.cold_until = max(tracked.cold_until, until)

    def of_service(self, service: str) -> list[Tracked]:
        """Return the targets of a service that may get work."""
        return [
            tracked
            for tracked in self._targets.values()
            if tracked.info.service == service
            and not tracked.info.leaving
            and not tracked.replaced
            and tracked.info.data_center not in self.closed
        ]

    def all(self) -> list[Tracked]:
        """Return all targets of the region."""
        return list(self._targets.values())

    def get(self, incarnation: str) -> Tracked | None:
        """Return one target; None: it isn't listed any more."""
        return self._targets.get(incarnation)

    def service(self, name: str) -> ServedService | None:
        """Return what the catalogue says of a service."""
        return self._services.get(name)

    def note_result(
        self, tracked: Tracked, result: TryResult, seconds: float, now: float
    ) -> None:
        """Count how a try at a target ended, and eject those that do badly."""
        if result in HEARD:
            tracked.note_heard(now)
        tracked.health.note(result, seconds)
        siblings = [
            t.health
            for t in self._targets.values()
            if t.info.service == tracked.info.service
        ]
        for health in find_ejections(siblings):
            health.eject(now)
            _log.warning("target ejected", service=tracked.info.service)
        tracked.health.settle(now, tracked.slots)

    def let_return(self, service: str, now: float) -> None:
        """Let an ejected target of a service come back, where one is due."""
        siblings = [
            t.health for t in self._targets.values() if t.info.service == service
        ]
        health = find_return(siblings, now)
        if health is not None:
            health.begin_return(now)


def is_ejected(tracked: Tracked) -> bool:
    """Tell whether a target gets nothing because it did badly."""
    return tracked.health.state is HealthState.ejected


def is_silent(tracked: Tracked, now: float) -> bool:
    """Tell whether an engine says nothing any more, as one behind a cut."""
    if tracked.told_silent:
        return True
    return tracked.failed_reports > 1 and now - tracked.silent_since > SILENT_AFTER
