"""Admission of requests suspected of crashing targets, on an entry host."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.quarantine import (
    CrashNotice,
    QuarantineMessage,
    TrialReply,
    TrialRequest,
    TrialReturn,
)
from bronzepoint_schema.ids import Fingerprint, HostName

from ._crash_detector import Crash
from ._crash_table import CrashTable
from ._fingerprint import (
    RequestFingerprints,
    combine_parts,
    is_combination,
    is_part,
)
from ._standing import SuspicionLevel
from ._suspect_record import CrashRecord

MAX_CASES_PER_NOTICE = 24
"""Maximum number of records in one notice, about 2 KB. The others are sent with the
next syncs with the core."""
EXPIRY_INTERVAL = 1.0
"""Seconds between two removals of expired crashes."""
PERMIT_TIMEOUT = 0.4
"""Seconds to wait for a permit for a trial: two of the longest round trips."""
TRIAL_POLL_INTERVAL = 0.03
"""Seconds between two checks whether the trial of another copy has ended."""
RETRY_AFTER = 3.0
"""Seconds after which a caller may retry if no core host has answered, or if another
copy of its request is on trial."""
MAX_UNUSED_PERMITS = 64
"""Maximum number of unused permits that are kept for the next copy of a request."""
UNUSED_PERMIT_RETENTION = 1.0
"""Seconds for which an unused permit is kept for the next copy. Then it is returned, as
the next copy may arrive at another host."""
RETURN_PERIOD = 5.0
"""Seconds for which the return of a permit is repeated, since messages may be lost."""
PERMIT_NUMBER_BITS = 53
"""Bits of the number of a permit query."""
OUTAGE_WINDOW = 0.5
"""Seconds within which crashes in one data center count as one event."""
MAX_INDEPENDENT_CRASHES = 2
"""Number of targets up to which crashes at the same time don't count as one event."""
MAX_RECENT_CRASHES = 64
"""Maximum number of recent crashes that are checked for a common outage."""

_log = get_logger("quarantine")


@dataclass(frozen=True)
class Admitted:
    """The request may be placed.

    Attributes:
        suspect: Whether it must run on a target without other suspects.
        by_permit: Whether a core host has granted a permit for this trial.
        beside_trial: Whether the trial is that of another request with the same parts,
            so that it doesn't end with this one.
    """

    suspect: bool = False
    by_permit: bool = False
    beside_trial: bool = False


@dataclass(frozen=True)
class Blocked:
    """The request must not be sent to a target.

    Attributes:
        retry_after: Seconds until it may be tried again.
        cause: Fingerprint of the request or part that is blocked; empty: it waits for
            the trial of another request.
    """

    retry_after: float
    cause: Fingerprint = Fingerprint("")


Admission = Admitted | Blocked


class TrialEnd(Enum):
    """Outcome of the trial of a suspect.

    USED: it may have run, or another host has taken it over. TURNED_AWAY: a target
    received it but didn't run it. NOT_SENT: it reached no target.
    """

    USED = auto()
    TURNED_AWAY = auto()
    NOT_SENT = auto()


@dataclass(frozen=True)
class _Permit:
    """A permit that a core host has granted, or may have granted.

    Attributes:
        fingerprint: Fingerprint of the content of the request.
        core: The core host.
        number: Number of the query.
        since: Monotonic time since which it is unused.
    """

    fingerprint: Fingerprint
    core: HostName
    number: int
    since: float


@dataclass(frozen=True)
class _Trial:
    """A trial in progress on this host.

    Attributes:
        names: Fingerprints of which no other request may be on trial here.
        permit: Fingerprint that a permit is granted for.
    """

    names: frozenset[Fingerprint]
    permit: Fingerprint


class Quarantine:
    """Decides from the crashes seen by all hosts whether and how a request may run.

    Args:
        table: Known crashes.
        peers: Links to the other hosts.
        core: Returns the core hosts.
        metrics: Counters.
    """

    def __init__(
        self,
        table: CrashTable,
        peers: Peers,
        core: Callable[[], list[HostName]],
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._peers = peers
        self._core = core
        self._metrics = metrics
        self._trials: dict[Fingerprint, _Trial] = {}
        self._permits: dict[Fingerprint, _Permit | None] = {}
        self._unused_permits: dict[Fingerprint, _Permit | None] = {}
        self._turned_away: set[Fingerprint] = set()
        self._returns: list[_Permit] = []
        self._recent_crashes: deque[Crash] = deque(maxlen=MAX_RECENT_CRASHES)
        self._task: curio.Task | None = None
        peers.register(Area.QUARANTINE, QuarantineMessage, self._handle)

    async def start(self) -> None:
        """Start the removal of expired crashes and the return of unused permits."""
        self._task = await spawn_background(self._expire)

    async def close(self) -> None:
        """Stop the removal of expired crashes and the return of unused permits."""
        if self._task is not None:
            await self._task.cancel()

    async def _handle(self, peer: HostName, message: QuarantineMessage) -> None:
        if isinstance(message, CrashNotice):
            self._table.merge(message.cases, monotonic())

    def note_crash(self, crash: Crash) -> None:
        """Record a crash for the requests of this host that ran on the target."""
        target = crash.target.incarnation
        crash_records: dict[Fingerprint, CrashRecord] = {}
        for run in crash.runs:
            for fingerprint in _fingerprints(run.fingerprints):
                crash_record = CrashRecord(
                    crash.at, run.is_early, run.is_alone, on_trial=run.ended_on_trial
                )
                crash_records.setdefault(fingerprint, crash_record).merge(crash_record)
            for part in run.fingerprints.parts if run.is_early else ():
                crash_record = CrashRecord(
                    crash.at,
                    early=True,
                    alone=run.is_alone,
                    requests=(run.fingerprints.tag,),
                )
                crash_records.setdefault(part, crash_record).merge(crash_record)
        now = monotonic()
        self._table.record_crash(crash_records, crash.target.service, target, now)
        self._record_outage(crash, now)
        self._report(crash_records)

    def note_survived(self, fingerprints: RequestFingerprints) -> None:
        """Clear early crashes of a request that has run past the early phase."""
        self._clear(_fingerprints(fingerprints), early_only=True)
        self._note_sound(fingerprints.parts)

    def record_answered(self, fingerprints: RequestFingerprints) -> None:
        """Clear all crashes of a request that a target has answered completely."""
        self._clear(_fingerprints(fingerprints))
        self._note_sound(fingerprints.parts)

    def _note_sound(self, parts: tuple[Fingerprint, ...]) -> None:
        self._table.note_sound(parts, monotonic())
        self._clear(parts)

    def note_trial_failed(self, fingerprints: RequestFingerprints) -> None:
        """Record that a permit has been used up by a run that wasn't answered.

        A host that forwarded the request doesn't know how its run ended elsewhere.
        """
        trial = self._trials.get(fingerprints.content)
        if trial is not None and trial.permit in self._permits:
            self._record_trial(fingerprints, trial.permit)

    def _clear(
        self, fingerprints: Iterable[Fingerprint], early_only: bool = False
    ) -> None:
        for fingerprint in fingerprints:
            if fingerprint not in self._table:
                continue
            if self._table.clear(fingerprint, monotonic(), early_only):
                self._metrics.incr("quarantine.cleared")
                self._report([fingerprint])

    def _record_outage(self, crash: Crash, now: float) -> None:
        """Record an outage if many targets of one data center ended together."""
        self._recent_crashes.append(crash)
        data_center = crash.target.data_center
        crashed_together = {
            other.target.incarnation
            for other in self._recent_crashes
            if other.target.data_center == data_center
            and crash.at - other.at <= OUTAGE_WINDOW
        }
        if len(crashed_together) > MAX_INDEPENDENT_CRASHES:
            self._report(self._table.record_outage(crashed_together, now))

    def standing(self, fingerprints: RequestFingerprints) -> SuspicionLevel:
        """Return the current standing of a request."""
        return self._table.standing_of(fingerprints)

    async def admit(
        self, fingerprints: RequestFingerprints, until: float, has_permit: bool = False
    ) -> Admission:
        """Return whether a request may be placed.

        After the trial of a suspect, the caller must call ``end_trial``, unless the
        suspect runs beside another trial.

        Args:
            fingerprints: Fingerprints of the request.
            until: Monotonic time until which it may wait for another copy's trial.
            has_permit: Whether a core host has already granted a permit.
        """
        may_ask = True
        while True:
            await self._wait_for_trials(fingerprints, until)
            names = self._trial_names(fingerprints)
            is_busy = self._is_on_trial(names)
            match self.standing(fingerprints):
                case SuspicionLevel.CLEAR:
                    return Admitted()
                case SuspicionLevel.HELD:
                    return self._blocked(fingerprints)
                case SuspicionLevel.SUSPECT if not is_busy:
                    self._begin_trial(fingerprints, names)
                    return Admitted(suspect=True)
                case SuspicionLevel.SUSPECT if fingerprints.content not in names:
                    # The trial of its parts takes long. Unlike a repeated request, most
                    # requests with a part that is suspect are sound.
                    return Admitted(suspect=True, beside_trial=True)
                case SuspicionLevel.DOUBTFUL if not is_busy and may_ask:
                    admission = await self._admit_by_permit(
                        fingerprints, names, has_permit
                    )
                    if isinstance(admission, Admitted) or not self._is_part_doubtful(
                        fingerprints
                    ):
                        return admission
                    # Another host has the permit, and its trial may clear the parts.
                    may_ask = False
            if monotonic() >= until:
                return Blocked(RETRY_AFTER)
            await curio.sleep(TRIAL_POLL_INTERVAL)

    async def _wait_for_trials(
        self, fingerprints: RequestFingerprints, until: float
    ) -> None:
        """Wait while a request with the same suspect fingerprints is on trial here."""
        while self._is_on_trial(self._trial_names(fingerprints)):
            if monotonic() >= until:
                return
            await curio.sleep(TRIAL_POLL_INTERVAL)

    def _is_on_trial(self, names: frozenset[Fingerprint]) -> bool:
        return any(names & trial.names for trial in self._trials.values())

    def _trial_names(self, fingerprints: RequestFingerprints) -> frozenset[Fingerprint]:
        """Return the fingerprints by which a request is on trial, if it is now."""
        names = [
            part
            for part in self._table.suspect_parts(fingerprints)
            if self._table.standing(part) is not SuspicionLevel.HELD
        ]
        own = map(self._table.standing, _fingerprints(fingerprints))
        if any(
            level in (SuspicionLevel.SUSPECT, SuspicionLevel.DOUBTFUL) for level in own
        ):
            names.append(fingerprints.content)
        return frozenset(names)

    def _begin_trial(
        self, fingerprints: RequestFingerprints, names: frozenset[Fingerprint]
    ) -> _Trial:
        doubtful = self._table.suspect_parts(fingerprints, SuspicionLevel.DOUBTFUL)
        permit = combine_parts(doubtful) if doubtful else fingerprints.content
        trial = self._trials[fingerprints.content] = _Trial(names, permit)
        return trial

    def _is_part_doubtful(self, fingerprints: RequestFingerprints) -> bool:
        return bool(self._table.suspect_parts(fingerprints, SuspicionLevel.DOUBTFUL))

    def _blocked(self, fingerprints: RequestFingerprints) -> Blocked:
        return Blocked(
            self._table.request_blocked_for(fingerprints, monotonic()),
            self._table.cause_of_block(fingerprints),
        )

    async def _admit_by_permit(
        self,
        fingerprints: RequestFingerprints,
        names: frozenset[Fingerprint],
        has_permit: bool,
    ) -> Admission:
        trial = self._begin_trial(fingerprints, names)
        admission: Admission = Blocked(RETRY_AFTER)
        try:
            if has_permit or trial.permit in self._unused_permits:
                self._permits[trial.permit] = self._unused_permits.pop(
                    trial.permit, None
                )
                admission = Admitted(suspect=True, by_permit=True)
            else:
                admission = await self._request_permit(trial.permit)
        finally:
            if isinstance(admission, Blocked):
                self._trials.pop(fingerprints.content, None)
        return admission

    def end_trial(
        self, fingerprints: RequestFingerprints, end: TrialEnd = TrialEnd.USED
    ) -> None:
        """End a trial, so that the next copy of the request may be tried.

        Args:
            fingerprints: Fingerprints of the request.
            end: Outcome of the trial. An unused permit passes to the next copy.
        """
        trial = self._trials.pop(fingerprints.content, None)
        if trial is None:
            return
        name = trial.permit
        by_permit = name in self._permits
        permit = self._permits.pop(name, None)
        match end:
            case TrialEnd.NOT_SENT:
                self._keep_permit(name, permit)
            case TrialEnd.TURNED_AWAY if name not in self._turned_away:
                # The permit is kept only once, as each attempt reaches a target, and
                # isn't returned, as each of the other hosts would also keep it once.
                self._turned_away.add(name)
                self._keep_permit(name, None)
            case TrialEnd.TURNED_AWAY if by_permit:
                self._record_trial(fingerprints, name)

    def _record_trial(
        self, fingerprints: RequestFingerprints, permit: Fingerprint
    ) -> None:
        """Report that the permit has been used up.

        Its core host alone knows of it otherwise, and may stop. A trial of several
        parts together has no record, as it doesn't prove anything about one of them.
        """
        now = monotonic()
        is_own = permit == fingerprints.content
        found = _fingerprints(fingerprints) if is_own else [permit]
        recorded = [n for n in found if self._table.record_trial(n, now)]
        if recorded:
            _log.info("trial failed", fingerprints=recorded)
        self._report(recorded)

    def _keep_permit(self, fingerprint: Fingerprint, permit: _Permit | None) -> None:
        """Keep an unused permit for the next copy; None: it can't be returned."""
        if permit is not None:
            permit = replace(permit, since=monotonic())
        if len(self._unused_permits) < MAX_UNUSED_PERMITS:
            self._unused_permits[fingerprint] = permit
        elif permit is not None:
            self._return(permit)

    def _return(self, permit: _Permit) -> None:
        """Return a permit to its core host, so that any host may get it.

        Otherwise no host could try the request as long as its copies arrive elsewhere.
        """
        self._returns.append(replace(permit, since=monotonic()))
        self._post_return(permit)

    def _post_return(self, permit: _Permit) -> None:
        message = TrialReturn(permit.fingerprint, permit.number)
        self._peers.post(permit.core, Area.QUARANTINE, message)

    async def _request_permit(self, fingerprint: Fingerprint) -> Admission:
        """Request a permit from the core host responsible for this fingerprint."""
        core = rendezvous_order(fingerprint, self._core())
        if not core:
            return Blocked(RETRY_AFTER)
        number = random.getrandbits(PERMIT_NUMBER_BITS)
        permit = _Permit(fingerprint, core[0], number, monotonic())
        reply = None
        try:
            reply = await self._peers.call(
                core[0],
                Area.QUARANTINE,
                TrialRequest(fingerprint, number),
                PERMIT_TIMEOUT,
            )
        except PeerError as exc:
            _log.info("no permit for a trial", core=core[0], reason=str(exc))
            return Blocked(RETRY_AFTER)
        finally:
            if reply is None:
                # The core host may have granted it, and only the answer is missing.
                self._return(permit)
        match reply:
            case TrialReply(granted=True):
                self._permits[fingerprint] = permit
                self._metrics.incr("quarantine.trial_granted")
                return Admitted(suspect=True, by_permit=True)
            case TrialReply(retry_ms=retry_ms):
                self._metrics.incr("quarantine.trial_denied")
                return Blocked(retry_ms / 1000)
        return Blocked(RETRY_AFTER)

    def _report(self, fingerprints: Iterable[Fingerprint]) -> None:
        """Send the records with early crashes to all core hosts at once.

        Lost notices and the remaining records reach the core with the regular syncs.
        """
        records = [
            record
            for fingerprint in fingerprints
            if (record := self._table.record(fingerprint))
        ]
        urgent = [
            record
            for record in records
            if any(crash.early for crash in record.crash_records.values())
        ]
        # Many requests share a part, so its record matters to more of them.
        urgent.sort(
            key=lambda record: (
                is_part(record.fingerprint),
                len(record.active_crash_records),
            ),
            reverse=True,
        )
        if not urgent:
            return
        now = monotonic()
        notice = CrashNotice(
            [record.to_message(now) for record in urgent[:MAX_CASES_PER_NOTICE]]
        )
        for host in self._core():
            self._peers.post(host, Area.QUARANTINE, notice)

    async def _expire(self) -> None:
        while True:
            await curio.sleep(EXPIRY_INTERVAL)
            now = monotonic()
            self._table.expire(now)
            self._turned_away = {
                name
                for name in self._turned_away
                if name in self._table or (is_combination(name) and len(self._table))
            }
            self._return_unused(now)

    def _return_unused(self, now: float) -> None:
        """Return the permits that no copy has used, and repeat recent returns."""
        self._returns = [
            permit for permit in self._returns if now - permit.since <= RETURN_PERIOD
        ]
        for permit in self._returns:
            self._post_return(permit)
        for fingerprint, permit in list(self._unused_permits.items()):
            if permit is not None and now - permit.since > UNUSED_PERMIT_RETENTION:
                del self._unused_permits[fingerprint]
                self._return(permit)


def _fingerprints(fingerprints: RequestFingerprints) -> list[Fingerprint]:
    """Return the non-empty fingerprints of a request, without its parts.

    Hosts of another version may send none.
    """
    return [
        fingerprint
        for fingerprint in (fingerprints.exact, fingerprints.content)
        if fingerprint
    ]
