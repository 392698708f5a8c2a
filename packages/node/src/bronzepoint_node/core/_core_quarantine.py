"""Crash records, trial permits and quarantine administration on a core host."""

import time
from collections.abc import Callable
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.peers import Area, Peers
from bronzepoint_common.storage import SnapshotFile, StorageError
from bronzepoint_node.quarantine import (
    MIN_CRASHES_SUSPECT,
    RETENTION,
    CrashTable,
    SuspectRecord,
    SuspicionLevel,
    is_any_caller,
    is_part,
    was_tried,
)
from bronzepoint_schema.generated.admin import QuarantinedCrash, QuarantinedRequest
from bronzepoint_schema.generated.quarantine import (
    CrashCase,
    CrashNotice,
    KeptCases,
    QuarantineMessage,
    TrialReply,
    TrialRequest,
    TrialReturn,
)
from bronzepoint_schema.ids import Fingerprint, HostName

from ._trial_permits import PermitQuery, TrialPermits

SAVE_INTERVAL = 0.5
"""Seconds between two checks for changes to save."""
MAX_CASES_PER_PUSH = 16
"""Maximum number of records in one push to entry hosts."""

_log = get_logger("quarantine")


class CoreQuarantine:
    """Collects crash reports of all hosts, grants trial permits and saves the records.

    The records are saved to disk because otherwise, after a restart of all hosts, a
    harmful request that its caller repeats would crash targets again.

    Args:
        peers: Links to the other hosts.
        folder: Folder of the snapshot file.
        syncing_hosts: Returns the entry hosts that sync with this host.

    Attributes:
        table: Known crashes.
    """

    def __init__(
        self, peers: Peers, folder: Path, syncing_hosts: Callable[[], list[HostName]]
    ) -> None:
        self.table = CrashTable(self._push)
        self._peers = peers
        self._syncing_hosts = syncing_hosts
        self._file = SnapshotFile(folder, "quarantine")
        self._permits = TrialPermits()
        self._saved: list[tuple] = []
        self._task: curio.Task | None = None
        peers.register(Area.QUARANTINE, QuarantineMessage, self._handle)

    async def start(self) -> None:
        """Load the saved records and start saving changes."""
        await self._load()
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop saving."""
        if self._task is not None:
            await self._task.cancel()

    def listed(self) -> list[QuarantinedRequest]:
        """Return all requests that aren't clear, the strictest standing first."""
        now = monotonic()
        restricted = [
            (standing, record)
            for record in self.table.records(MIN_CRASHES_SUSPECT)
            if (standing := self.table.standing(record.fingerprint))
        ]
        restricted.sort(key=lambda each: (-each[0], -each[1].last_crash_at))
        return [
            self._describe(record, standing, now) for standing, record in restricted
        ]

    def _describe(
        self, record: SuspectRecord, standing: SuspicionLevel, now: float
    ) -> QuarantinedRequest:
        return QuarantinedRequest(
            fingerprint=record.fingerprint,
            service=record.service,
            standing=standing.name.lower(),
            seconds_left=round(self.table.blocked_for(record.fingerprint, now), 1),
            crashes=[
                QuarantinedCrash(
                    target, round(now - crash.at, 1), crash.early, crash.alone
                )
                for target, crash in record.active_crash_records.items()
            ],
        )

    def release(self, fingerprint: Fingerprint) -> bool:
        """Clear a request; return whether it had been restricted."""
        record = self.table.record(fingerprint)
        fingerprints = (
            [fingerprint, *self._any_caller_fingerprints(record)]
            if record is not None
            else [fingerprint]
        )
        for each in fingerprints:
            self._permits.reset(each)
        # A single crash reported after a release doesn't restrict the request again.
        released = any(self.table.standing(each) for each in fingerprints)
        now = monotonic()
        for each in fingerprints:
            self.table.clear(each, now)
        _log.info("request released", fingerprint=fingerprint, released=released)
        return released

    def _any_caller_fingerprints(self, record: SuspectRecord) -> list[Fingerprint]:
        """Return the fingerprints without caller that share all crashes of a record."""
        return [
            other.fingerprint
            for other in self.table.records(MIN_CRASHES_SUSPECT)
            if is_any_caller(other.fingerprint)
            and record.crash_records.keys() <= other.crash_records.keys()
        ]

    async def _handle(
        self, peer: HostName, message: QuarantineMessage
    ) -> QuarantineMessage | None:
        match message:
            case CrashNotice(cases=cases):
                self.table.merge(cases, monotonic())
            case TrialRequest(fingerprint=fingerprint, number=number):
                return self._answer_trial(fingerprint, PermitQuery(peer, number))
            case TrialReturn(fingerprint=fingerprint, number=number):
                query = PermitQuery(peer, number)
                if self._permits.take_back(fingerprint, query):
                    _log.info("permit returned", fingerprint=fingerprint, host=peer)
        return None

    def _push(self, changed: list[SuspectRecord]) -> None:
        """Send records with a changed standing to the entry hosts that sync here.

        A harmful request is usually repeated at once, and an entry host would send it
        to another target before its next sync.
        """
        now = monotonic()
        notice = CrashNotice(
            [record.to_message(now) for record in changed[:MAX_CASES_PER_PUSH]]
        )
        for host in self._syncing_hosts():
            self._peers.post(host, Area.QUARANTINE, notice)

    def _answer_trial(self, fingerprint: Fingerprint, query: PermitQuery) -> TrialReply:
        now = monotonic()
        record = self.table.record(fingerprint)
        # The request was answered and cleared since; the entry host doesn't know yet.
        is_clear = record is not None and not record.active_crash_records
        if record is not None and self._is_trial_over(record):
            # Another core host granted the permit, or this one before its restart.
            time_left = self.table.blocked_for(fingerprint, now)
            return TrialReply(False, int(time_left * 1000))
        is_repeated = record is not None and self._was_disturbed(record)
        if is_clear or self._permits.grant(fingerprint, now, query, is_repeated):
            return TrialReply(True, 0)
        time_left = min(self._permits.seconds_left(fingerprint, now), RETENTION)
        return TrialReply(False, int(time_left * 1000))

    def _is_trial_over(self, record: SuspectRecord) -> bool:
        """Return whether the permit for a request or part has been used up."""
        if is_part(record.fingerprint):
            # A part gets another permit later, unless it is proven harmful.
            return self.table.standing(record.fingerprint) is SuspicionLevel.HELD
        return self.table.has_failed_trial(record.fingerprint)

    def _was_disturbed(self, record: SuspectRecord) -> bool:
        """Return whether the trial of a request failed, but proved nothing."""
        if is_part(record.fingerprint):
            return False
        is_tried = was_tried(record.active_crash_records.values())
        return is_tried and not self._is_trial_over(record)

    async def _run(self) -> None:
        while True:
            await curio.sleep(SAVE_INTERVAL)
            self.table.expire(monotonic())
            await self._save()

    async def _save(self) -> None:
        records = self.table.records(MIN_CRASHES_SUSPECT)
        state = [
            (record.fingerprint, target, *crash.flags)
            for record in records
            for target, crash in record.crash_records.items()
        ]
        if state == self._saved:
            return
        now = monotonic()
        content = msgspec.json.encode(
            KeptCases(time.time(), [record.to_message(now) for record in records])
        )
        try:
            await curio.run_in_thread(self._file.save, content)
        except StorageError as exc:
            # The records remain in memory and on the other core hosts.
            _log.warning("quarantine not kept", reason=str(exc))
        self._saved = state

    async def _load(self) -> None:
        try:
            content = await curio.run_in_thread(self._file.load)
            saved = msgspec.json.decode(content, type=KeptCases) if content else None
        except (StorageError, msgspec.MsgspecError) as exc:
            _log.warning("quarantine not read", reason=str(exc))
            return
        if saved is not None:
            # The wall clock may have been adjusted since the file was saved.
            passed = min(max(0.0, time.time() - saved.saved_at), RETENTION)
            self.table.merge(_add_age(saved.cases, passed), monotonic())


def _add_age(cases: list[CrashCase], seconds: float) -> list[CrashCase]:
    for case in cases:
        for mark in case.marks:
            mark.age_ms += int(seconds * 1000)
    return cases
