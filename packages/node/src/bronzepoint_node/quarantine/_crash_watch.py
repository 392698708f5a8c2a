"""Which requests of this host ran at a target when it crashed."""

from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_schema.generated.fleet import TargetInfo

from ._fingerprint import RequestNames

BROKEN_KEPT = 10.0
"""Seconds for which a run that broke is kept: a silent target that has crashed is known
by its next start, some seconds later."""
MOST_BROKEN = 256
"""Such runs kept for one target; it works on fewer at once."""
TARGET_KEPT = 60.0
"""Seconds for which a target is kept that nothing more is heard of."""
HEARD_MARGIN = 0.1
"""Seconds before the last sign of life of a target within which a run may have broken
by its crash: signs come by several connections."""
EARLY = 0.5
"""Seconds after its first event within which a request that crashes its target does
so. A suspect is on trial so long, and one that runs on hasn't crashed it."""
MOST_NAMED = 8
"""Runs that the line of a crash names."""

_log = get_logger("targets")


@dataclass(eq=False)
class WatchedRun:
    """One try at a target.

    Attributes:
        names: What was asked.
        began: When it was sent.
        first_event_at: When its first event came; 0: none did.
        ended_at: When it broke; 0: it hasn't.
        suspect: It was sent as a suspect, to a target without another one.
        quiet: Nothing else that hadn't begun was known to be there.
        followed: Another run was sent there while this one was on trial.
        survived: It ran on past its beginning.
    """

    names: RequestNames
    began: float
    first_event_at: float = 0.0
    ended_at: float = 0.0
    suspect: bool = False
    quiet: bool = False
    followed: bool = False
    survived: bool = False

    @property
    def is_early(self) -> bool:
        """Tell whether it broke before it had run for long."""
        if not self.first_event_at:
            return True
        return self.ended_at - self.first_event_at <= EARLY

    def is_on_trial(self, now: float) -> bool:
        """Tell whether it is a suspect that has run for a short time only."""
        if not self.suspect:
            return False
        return not self.first_event_at or now - self.first_event_at <= EARLY

    @property
    def is_alone(self) -> bool:
        """Tell whether nothing else can have crashed the target that broke it."""
        on_trial = self.is_on_trial(self.ended_at)
        return on_trial and self.quiet and not self.followed


@dataclass(frozen=True)
class Crash:
    """A target that ended while requests ran there.

    Attributes:
        target: The target.
        at: When that was seen.
        runs: Runs of this host that broke with it.
    """

    target: TargetInfo
    at: float
    runs: list[WatchedRun]


class CrashListener(Protocol):
    """Who is told of crashes, and of requests that ran without one."""

    def note_crash(self, crash: Crash) -> None:
        """Count a crash; told again for runs that break later by it."""

    def note_survived(self, names: RequestNames) -> None:
        """Count a request that has run on past its beginning."""

    def note_answered(self, names: RequestNames) -> None:
        """Count a request that a target has answered in whole."""


@dataclass(eq=False)
class _Watched:
    """What is known of one start of a target."""

    info: TargetInfo
    heard_at: float
    crashed_at: float = 0.0
    broken: deque[WatchedRun] = field(default_factory=lambda: deque(maxlen=MOST_BROKEN))
    trials: set[WatchedRun] = field(default_factory=set)
    looking: curio.Event | None = None


class CrashWatch:
    """Tells crashes of targets from all else that breaks a request.

    A connection that is reset, a deadline or a cut link proves nothing of the target.
    It has crashed where nothing listens any more just after it broke its requests, or
    where another start answers at its address, and it wasn't to leave.

    Args:
        is_refused: Tells whether nothing listens at an address.
        listener: Is told what is seen.
        metrics: Counters.
    """

    def __init__(
        self,
        is_refused: Callable[[str], Awaitable[bool]],
        listener: CrashListener,
        metrics: Metrics,
    ) -> None:
        self._is_refused = is_refused
        self._listener = listener
        self._metrics = metrics
        self._targets: dict[str, _Watched] = {}
        self._listed: set[str] = set()

    def begin(
        self,
        target: TargetInfo,
        names: RequestNames,
        suspect: bool = False,
        quiet: bool = False,
    ) -> WatchedRun:
        """Count a request that is sent to a target."""
        now = monotonic()
        run = WatchedRun(names, now, suspect=suspect, quiet=quiet)
        known = self._targets.get(target.incarnation)
        if known is None:
            self._forget_old(now)
            known = self._targets[target.incarnation] = _Watched(target, now)
        known.info = target
        for other in known.trials:
            other.followed = other.followed or other.is_on_trial(now)
        if suspect:
            known.trials.add(run)
        return run

    def note_event(self, target: TargetInfo, run: WatchedRun) -> None:
        """Count a sign of life in the answer to a run."""
        now = monotonic()
        if not run.first_event_at:
            run.first_event_at = now
        elif not run.survived and now - run.first_event_at > EARLY:
            run.survived = True
            self._listener.note_survived(run.names)
        self.note_heard(target, now)

    def note_answered(self, target: TargetInfo, run: WatchedRun) -> None:
        """Count a run that ended with a whole answer."""
        self._end(target, run)
        self.note_heard(target, monotonic())
        self._listener.note_answered(run.names)

    def note_not_run(self, target: TargetInfo, run: WatchedRun) -> None:
        """Count a run that the target never began."""
        self._end(target, run)

    def note_heard(self, target: TargetInfo, now: float) -> None:
        """Count a sign of life of a target."""
        known = self._targets.get(target.incarnation)
        if known is not None:
            known.heard_at = now

    def note_broken(self, target: TargetInfo, run: WatchedRun) -> None:
        """Count a run that ended without a whole answer."""
        known = self._end(target, run)
        if known is None:
            return
        if known.crashed_at:
            if run.began < known.crashed_at:
                self._tell(known, [run])
            return
        known.broken.append(run)

    def _end(self, target: TargetInfo, run: WatchedRun) -> _Watched | None:
        run.ended_at = monotonic()
        known = self._targets.get(target.incarnation)
        if known is not None:
            known.trials.discard(run)
        return known

    async def look(self, target: TargetInfo) -> bool:
        """Tell whether a target has crashed whose answer broke off just now.

        All requests that break together have it looked at once.
        """
        known = self._targets.get(target.incarnation)
        if known is None or target.leaving:
            return False
        if known.crashed_at:
            return True
        if known.looking is not None:
            await known.looking.wait()
            return bool(known.crashed_at)
        known.looking = curio.Event()
        # What the other connections still deliver meanwhile is from before the crash.
        heard_at = min(known.heard_at, monotonic())
        try:
            if await self._is_refused(target.address):
                known.heard_at = heard_at
                self._note_crashed(known)
        finally:
            await known.looking.set()
            known.looking = None
        return bool(known.crashed_at)

    def note_replaced(self, target: TargetInfo) -> None:
        """Count a target whose address another start answers at."""
        known = self._targets.get(target.incarnation)
        if known is not None and not known.crashed_at and not target.leaving:
            self._note_crashed(known)

    def note_listed(self, listed: Iterable[TargetInfo]) -> None:
        """Look for new starts at the addresses of targets that requests were sent to.

        A target that has crashed stays listed for some seconds, maybe beside the next
        start at its address: only one that wasn't listed before is the newer of them.
        """
        infos = {info.incarnation: info for info in listed}
        for name in infos.keys() & self._targets.keys():
            self._targets[name].info = infos[name]
        started = {infos[name].address: name for name in infos.keys() - self._listed}
        self._listed = set(infos)
        if not started:
            return
        for name, known in self._targets.items():
            newer = started.get(known.info.address, name)
            if newer != name and not known.crashed_at and not known.info.leaving:
                self._note_crashed(known)

    def _note_crashed(self, known: _Watched) -> None:
        now = monotonic()
        known.crashed_at = now
        runs = [
            run
            for run in known.broken
            if now - run.ended_at <= BROKEN_KEPT
            and run.ended_at >= known.heard_at - HEARD_MARGIN
        ]
        known.broken.clear()
        if runs:
            self._tell(known, runs)

    def _tell(self, known: _Watched, runs: list[WatchedRun]) -> None:
        self._metrics.incr("crash.runs", len(runs))
        if len(runs) > 1 or runs[0].is_early:
            self._log(known, runs)
        self._listener.note_crash(Crash(known.info, known.crashed_at, runs))

    def _log(self, known: _Watched, runs: list[WatchedRun]) -> None:
        early = [run for run in runs if run.is_early]
        newest = sorted(early, key=lambda run: -run.began)[:MOST_NAMED]
        _log.warning(
            "target crashed",
            target=known.info.incarnation,
            address=known.info.address,
            service=known.info.service,
            runs=len(runs),
            early=len(early),
            newest={
                run.names.exact: round(run.ended_at - run.began, 3) for run in newest
            },
        )

    def _forget_old(self, now: float) -> None:
        for name, known in list(self._targets.items()):
            if now - max(known.heard_at, known.crashed_at) > TARGET_KEPT:
                del self._targets[name]
