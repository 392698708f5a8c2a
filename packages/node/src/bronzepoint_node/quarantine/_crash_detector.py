"""Detection of target crashes and of this host's requests that were running there."""

from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_schema.generated.fleet import TargetInfo

from ._fingerprint import RequestFingerprints

FAILED_RUN_RETENTION = 10.0
"""Seconds for which a failed run is kept. The crash of an unresponsive target is only
detected some seconds later, when its next incarnation appears."""
MAX_FAILED_RUNS = 256
"""Maximum number of failed runs kept per target; it processes fewer runs at once."""
TARGET_RETENTION = 60.0
"""Seconds after its last activity or listing for which a target is remembered."""
CONTACT_MARGIN = 0.1
"""Seconds before the last activity of a target within which a failed run may still be
due to its crash, as data arrives on several connections."""
EARLY_PHASE = 0.5
"""Seconds after its first event within which a harmful request crashes its target. A
suspect is on trial for this time; if it runs on, it hasn't crashed the target."""
RECHECK_DELAYS = (0.1, 0.4)
"""Seconds to wait before each further check of a target that accepted a connection just
after a run had failed early. A target that has crashed may accept connections until its
sockets are closed, so one check doesn't prove that it runs."""
MAX_LOGGED_RUNS = 8
"""Maximum number of runs, and of prompt parts, listed in the log line of a crash."""

_log = get_logger("targets")


@dataclass(eq=False)
class WatchedRun:
    """One attempt to run a request on a target; times are monotonic seconds.

    Attributes:
        fingerprints: Fingerprints of the request.
        began: Time at which it was sent.
        first_event_at: Time of its first event; 0 if none has arrived.
        ended_at: Time at which it ended; 0 while it runs.
        suspect: Whether it was sent as a suspect, to a target without another suspect.
        quiet: Whether, as far as known, every other run there had had its first event.
        overlapped: Whether another run was sent to the target during the trial.
        survived: Whether it ran on past the early phase.
    """

    fingerprints: RequestFingerprints
    began: float
    first_event_at: float = 0.0
    ended_at: float = 0.0
    suspect: bool = False
    quiet: bool = False
    overlapped: bool = False
    survived: bool = False

    @property
    def is_early(self) -> bool:
        """Return whether it ended in the early phase of its run."""
        if not self.first_event_at:
            return True
        return self.ended_at - self.first_event_at <= EARLY_PHASE

    def is_on_trial(self, now: float) -> bool:
        """Return whether it is a suspect that is still in its early phase."""
        if not self.suspect:
            return False
        return not self.first_event_at or now - self.first_event_at <= EARLY_PHASE

    @property
    def is_alone(self) -> bool:
        """Return whether no other run of this host, and none that this host knew of as
        it was sent, can have caused the crash that ended it."""
        return self.ended_on_trial and self.quiet and not self.overlapped

    @property
    def ended_on_trial(self) -> bool:
        """Return whether it was a suspect that ended in its early phase."""
        return self.is_on_trial(self.ended_at)

    def describe_trial(self) -> str:
        """Return for the log whether a crash proves something about this suspect."""
        if not self.ended_on_trial:
            return "over"
        if not self.quiet:
            return "not quiet"
        return "overlapped" if self.overlapped else "alone"


@dataclass(frozen=True)
class Crash:
    """A target that crashed while requests were running on it.

    Attributes:
        target: The target.
        at: Monotonic time at which the crash was detected.
        runs: Runs of this host that failed with it.
    """

    target: TargetInfo
    at: float
    runs: list[WatchedRun]


class CrashListener(Protocol):
    """Receiver of crash reports and of runs that ended without a crash."""

    def note_crash(self, crash: Crash) -> None:
        """Handle a crash; called again for runs that fail later because of it."""

    def note_survived(self, fingerprints: RequestFingerprints) -> None:
        """Handle a request that has run past the early phase."""

    def record_answered(self, fingerprints: RequestFingerprints) -> None:
        """Handle a request that a target has answered completely."""

    def note_trial_failed(self, fingerprints: RequestFingerprints) -> None:
        """Handle a suspect whose run at a target ended without a complete answer."""


@dataclass(eq=False)
class _WatchedTarget:
    """State of one incarnation of a target; times are monotonic seconds."""

    info: TargetInfo
    last_contact_at: float
    crashed_at: float = 0.0
    failed_runs: deque[WatchedRun] = field(
        default_factory=lambda: deque(maxlen=MAX_FAILED_RUNS)
    )
    trials: set[WatchedRun] = field(default_factory=set)
    said_leaving: bool = False
    check_done: curio.Event | None = None
    rechecking: bool = False

    @property
    def is_leaving(self) -> bool:
        """Whether it was to end anyway."""
        return self.info.leaving or self.said_leaving


class CrashDetector:
    """Distinguishes target crashes from other failures of requests.

    A connection reset, an expired deadline or a broken link doesn't prove a crash. A
    target counts as crashed if its address refuses connections just after its requests
    failed, or if another incarnation answers there, unless it was leaving anyway.

    Args:
        is_refused: Returns whether an address refuses connections.
        listener: Receives the crashes and the runs that ended without one.
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
        self._targets: dict[str, _WatchedTarget] = {}
        self._listed_at: dict[str, float] = {}

    def begin(
        self,
        target: TargetInfo,
        fingerprints: RequestFingerprints,
        suspect: bool = False,
        quiet: bool = False,
    ) -> WatchedRun:
        """Register a run that is sent to a target."""
        now = monotonic()
        run = WatchedRun(fingerprints, now, suspect=suspect, quiet=quiet)
        watched = self._targets.get(target.incarnation)
        if watched is None:
            self._drop_stale(now)
            watched = self._targets[target.incarnation] = _WatchedTarget(target, now)
        watched.info = target
        for other in watched.trials:
            other.overlapped = other.overlapped or other.is_on_trial(now)
        if suspect:
            watched.trials.add(run)
        return run

    def record_event(self, target: TargetInfo, run: WatchedRun) -> None:
        """Record an event in the answer to a run."""
        now = monotonic()
        if not run.first_event_at:
            run.first_event_at = now
        elif not run.survived and now - run.first_event_at > EARLY_PHASE:
            run.survived = True
            self._listener.note_survived(run.fingerprints)
        self.record_contact(target, now)

    def record_answered(
        self, target: TargetInfo, run: WatchedRun, succeeded: bool = True
    ) -> None:
        """Record that a run ended with a complete answer.

        Args:
            target: The target.
            run: The run.
            succeeded: False: the answer is an error. It proves nothing about the parts
                of the prompt, since the target may not have read them.
        """
        self._end_run(target, run)
        self.record_contact(target, monotonic())
        self._note_answered(run, succeeded)

    def _note_answered(self, run: WatchedRun, succeeded: bool) -> None:
        fingerprints = run.fingerprints
        self._listener.record_answered(
            fingerprints if succeeded else fingerprints.without_parts
        )

    async def confirm_answered(
        self, target: TargetInfo, run: WatchedRun, succeeded: bool = True
    ) -> None:
        """Record an answer that ended with its connection, once its target has shown
        that it still runs.

        A crash ends an answer without length in the same way as a whole one.
        """
        watched = self._end_run(target, run)
        if watched is None or not run.is_early or watched.is_leaving:
            self.record_answered(target, run, succeeded)
            return
        if watched.crashed_at:
            self._report(watched, [run])
            return
        watched.failed_runs.append(run)
        for delay in RECHECK_DELAYS:
            await curio.sleep(delay)
            if watched.last_contact_at > run.ended_at + CONTACT_MARGIN:
                break
            if await self._check_once(watched):
                return
        if run in watched.failed_runs:
            watched.failed_runs.remove(run)
            self._note_answered(run, succeeded)

    def record_not_run(self, target: TargetInfo, run: WatchedRun) -> None:
        """Record that the target never began a run."""
        self._end_run(target, run)

    def record_contact(self, target: TargetInfo, now: float) -> None:
        """Record activity of a target."""
        watched = self._targets.get(target.incarnation)
        if watched is not None:
            watched.last_contact_at = now

    def record_leaving(self, target: TargetInfo) -> None:
        """Record that a target says that it is leaving, so that its end is no crash."""
        watched = self._targets.get(target.incarnation)
        if watched is not None:
            watched.said_leaving = True

    def record_failure(self, target: TargetInfo, run: WatchedRun) -> None:
        """Record that a run ended without a complete answer."""
        watched = self._end_run(target, run)
        if run.suspect:
            self._listener.note_trial_failed(run.fingerprints)
        if watched is None:
            return
        if watched.crashed_at:
            if run.began < watched.crashed_at:
                self._report(watched, [run])
            return
        watched.failed_runs.append(run)

    def _end_run(self, target: TargetInfo, run: WatchedRun) -> _WatchedTarget | None:
        run.ended_at = monotonic()
        watched = self._targets.get(target.incarnation)
        if watched is not None:
            watched.trials.discard(run)
        return watched

    async def check_crash(self, target: TargetInfo) -> bool:
        """Check whether a target whose answer was just interrupted has crashed.

        Requests that fail at the same time share one check.
        """
        watched = self._targets.get(target.incarnation)
        if watched is None or target.leaving or watched.is_leaving:
            return False
        ended = await self._check_once(watched)
        if not ended and not watched.rechecking and _has_failed_early(watched):
            watched.rechecking = True
            await curio.spawn(self._recheck, watched, daemon=True)
        return ended

    async def _recheck(self, watched: _WatchedTarget) -> None:
        """Check a target again, unless it shows by its answers that it runs."""
        try:
            for delay in RECHECK_DELAYS:
                await curio.sleep(delay)
                if watched.is_leaving or not _has_failed_early(watched):
                    return
                if await self._check_once(watched):
                    return
        finally:
            watched.rechecking = False

    async def _check_once(self, watched: _WatchedTarget) -> bool:
        if watched.crashed_at:
            return True
        if watched.check_done is not None:
            await watched.check_done.wait()
            return bool(watched.crashed_at)
        watched.check_done = curio.Event()
        # Data still arriving on other connections was sent before the crash.
        last_contact_at = min(watched.last_contact_at, monotonic())
        try:
            if await self._is_refused(watched.info.address):
                watched.last_contact_at = last_contact_at
                self._note_crashed(watched)
        finally:
            await watched.check_done.set()
            watched.check_done = None
        return bool(watched.crashed_at)

    def record_replacement(self, target: TargetInfo) -> None:
        """Record that another incarnation answers at the address of a target."""
        watched = self._targets.get(target.incarnation)
        if watched is None or watched.crashed_at or target.leaving:
            return
        if not watched.is_leaving:
            self._note_crashed(watched)

    def record_list(self, listed: Iterable[TargetInfo]) -> None:
        """Check the target list for new incarnations at the addresses in use.

        A crashed target stays listed for some seconds, possibly along with the next
        incarnation at its address. Only an incarnation that wasn't listed before counts
        as newer. One that a reading lacked and a later one has is not newer.
        """
        infos = {info.incarnation: info for info in listed}
        for incarnation in infos.keys() & self._targets.keys():
            self._targets[incarnation].info = infos[incarnation]
        started = {
            infos[incarnation].address: incarnation
            for incarnation in infos.keys() - self._listed_at.keys()
        }
        self._note_listed(infos)
        if not started:
            return
        for incarnation, watched in self._targets.items():
            newer = started.get(watched.info.address, incarnation)
            if (
                newer != incarnation
                and not watched.crashed_at
                and not watched.is_leaving
            ):
                self._note_crashed(watched)

    def _note_listed(self, incarnations: Iterable[str]) -> None:
        now = monotonic()
        self._listed_at.update(dict.fromkeys(incarnations, now))
        self._listed_at = {
            incarnation: at
            for incarnation, at in self._listed_at.items()
            if now - at <= TARGET_RETENTION
        }

    def _note_crashed(self, watched: _WatchedTarget) -> None:
        now = monotonic()
        watched.crashed_at = now
        runs = [
            run
            for run in watched.failed_runs
            if now - run.ended_at <= FAILED_RUN_RETENTION
            and _ended_after_contact(run, watched)
        ]
        watched.failed_runs.clear()
        if runs:
            self._report(watched, runs)

    def _report(self, watched: _WatchedTarget, runs: list[WatchedRun]) -> None:
        self._metrics.incr("crash.runs", len(runs))
        if len(runs) > 1 or runs[0].is_early:
            self._log_crash(watched, runs)
        self._listener.note_crash(Crash(watched.info, watched.crashed_at, runs))

    def _log_crash(self, watched: _WatchedTarget, runs: list[WatchedRun]) -> None:
        early = [run for run in runs if run.is_early]
        newest = sorted(early, key=lambda run: -run.began)[:MAX_LOGGED_RUNS]
        _log.warning(
            "target crashed",
            target=watched.info.incarnation,
            address=watched.info.address,
            service=watched.info.service,
            runs=len(runs),
            early=len(early),
            newest={
                run.fingerprints.exact: round(run.ended_at - run.began, 3)
                for run in newest
            },
            trials={
                run.fingerprints.exact: run.describe_trial()
                for run in runs
                if run.suspect
            },
            parts=dict(
                Counter(
                    part for run in early for part in run.fingerprints.parts
                ).most_common(MAX_LOGGED_RUNS)
            ),
        )

    def _drop_stale(self, now: float) -> None:
        for incarnation, watched in list(self._targets.items()):
            if (
                now - max(watched.last_contact_at, watched.crashed_at)
                > TARGET_RETENTION
            ):
                del self._targets[incarnation]


def _ended_after_contact(run: WatchedRun, watched: _WatchedTarget) -> bool:
    """Return whether a run failed no earlier than the target's last activity."""
    return run.ended_at >= watched.last_contact_at - CONTACT_MARGIN


def _has_failed_early(watched: _WatchedTarget) -> bool:
    """Return whether a crash would be recorded for a run that had just begun."""
    return any(
        run.is_early and _ended_after_contact(run, watched)
        for run in watched.failed_runs
    )
