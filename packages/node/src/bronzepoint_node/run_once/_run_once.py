"""Runs each non-idempotent request at most once, whichever host gets its resends."""

from collections.abc import Callable
from pathlib import Path

import curio

from bronzepoint_common.background import keep_running
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.run_once import _states
from bronzepoint_node.run_once._answers import bound_answer
from bronzepoint_node.run_once._attempts import Attempts
from bronzepoint_node.run_once._background import BackgroundTasks
from bronzepoint_node.run_once._claims import Claims
from bronzepoint_node.run_once._clock import Clock
from bronzepoint_node.run_once._keys import KeyWindow, new_key, parse_key
from bronzepoint_node.run_once._outcomes import Outcomes
from bronzepoint_node.run_once._owners import Owners
from bronzepoint_node.run_once._proposer import Proposer
from bronzepoint_node.run_once._recovery import Recovery
from bronzepoint_node.run_once._replica import Replica
from bronzepoint_node.run_once._replica_log import LogRecord, ReplicaLog
from bronzepoint_node.run_once._results import ClaimResult, ClaimToken
from bronzepoint_node.run_once._voting_rights import VotingRights
from bronzepoint_schema.generated import run_once as messages
from bronzepoint_schema.generated.run_once import (
    Identity,
    PeerIncarnation,
    Register,
    RunOnceMessage,
    StoredAnswer,
    Vote,
)
from bronzepoint_schema.generated.settings import RunOnceSection
from bronzepoint_schema.ids import HostName, IdempotencyKey, RequestId

CALL_TIMEOUT = 1.0
"""Timeout (s) of a query for an attempt's status or for a page of registers.

A round waits for the fastest majority, but such a query waits for a single host that
may have failed. So it must be short even if the settings allow a round a long time."""
EXPIRY_INTERVAL = 1.0
"""Seconds between two removals of expired registers."""

_log = get_logger("run_once")


class RunOnce:
    """Claims idempotency keys for this host and votes as a replica of registers.

    Each key has a register that is replicated on a few hosts of the region. A host
    must claim the key on a majority of them before it dispatches the request, and
    records the outcome there. No second claim succeeds unless the first host reported
    that its attempt certainly did not run.

    Args:
        name: This host.
        peers: Messages to and from other hosts.
        region_hosts: Returns all hosts of this region from settings and membership,
            live or not; must include all hosts of the settings when `start` is called.
        section: Settings.
        data_folder: Folder of the log; None if this host has no disk.
        metrics: Counts results and refusals.
        clock: Wall and elapsed time.
    """

    def __init__(
        self,
        name: HostName,
        peers: Peers,
        region_hosts: Callable[[], list[HostName]],
        section: RunOnceSection,
        data_folder: Path | None,
        metrics: Metrics,
        clock: Clock | None = None,
    ) -> None:
        self._name = name
        self._peers = peers
        self._section = section
        self._metrics = metrics
        self._clock = clock if clock is not None else Clock()
        self._window = KeyWindow(section.lifetime, section.clock_skew, self._clock)
        self._owners = Owners(
            name, region_hosts, section.copies, self._window, self._clock
        )
        self._voting_rights = VotingRights(name, self._owners, self._window)
        self._replica = Replica(
            self._owners, self._voting_rights, self._window, metrics
        )
        self._log = ReplicaLog(data_folder, self._log_records, metrics)
        self._recovery = Recovery(
            name,
            self._replica,
            self._voting_rights,
            self._owners,
            self._log,
            self._read_page,
            metrics,
        )
        self._attempts = Attempts()
        self._proposer = Proposer(name, self._owners, self._send, metrics)
        self._outcomes = Outcomes(
            self._proposer, self._attempts, self._window, section.timeout, metrics
        )
        self._claims = Claims(
            name,
            self._proposer,
            self._attempts,
            self._outcomes,
            self._window,
            self._clock,
            section,
            self._query_attempt,
            metrics,
        )
        self._background = BackgroundTasks()
        self._call_timeout = min(CALL_TIMEOUT, section.timeout)

    async def start(self) -> None:
        """Read the log, start voting and, after a loss of memory, start recovery.

        Raises:
            StorageInUse: Another process holds the data folder.
        """
        self._owners.begin()
        await self._restore(await self._log.start())
        self._peers.register(Area.RUN_ONCE, RunOnceMessage, self._handle)
        await self._background.spawn(keep_running, self._recovery.run)
        await self._background.spawn(keep_running, self._expire)

    async def close(self, grace: float | None = None) -> None:
        """Wait for outcomes that are not yet recorded, then stop.

        Args:
            grace: Maximum seconds to wait; None for the timeout of the settings.
        """
        await self._outcomes.close(self._section.timeout if grace is None else grace)
        await self._background.close()
        await self._log.close()

    @property
    def ready(self) -> bool:
        """Whether this host's replica may vote on new keys."""
        if self._log.failed:
            return False
        return self._voting_rights.may_vote(new_key(self._clock), (self._name,))

    @property
    def recovered(self) -> bool:
        """Whether this host has read all that the other replicas hold."""
        return self._voting_rights.recovered

    @property
    def registers(self) -> int:
        """Number of registers that this host keeps."""
        return len(self._replica.registers)

    def owners(self, key: IdempotencyKey) -> tuple[HostName, ...]:
        """Return the hosts that keep a key's register.

        Raises:
            InvalidKey: The key is not a UUIDv7.
        """
        return self._owners.of(parse_key(key))

    async def claim(
        self, key: IdempotencyKey, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        """Claim the right to run a request, or return the result of an earlier claim.

        It never waits for another attempt to end.

        Args:
            key: The caller's key.
            digest: Digest that identifies the request: caller, target and body.
            request_id: Identifier of this request.

        Raises:
            InvalidKey: The key is not a UUIDv7.
            KeyAhead: The timestamp of the key is in the future.
        """
        key_bytes = parse_key(key)
        self._window.check_ahead(key_bytes)
        result = await self._claims.claim(key_bytes, digest, request_id)
        self._metrics.incr(f"run_once.claim.{type(result).__name__.lower()}")
        return result

    async def confirm(self, token: ClaimToken) -> bool:
        """Return whether dispatch may begin now; call right before each dispatch.

        A host may be stopped between its claim and the dispatch, for longer than the
        others wait for it. They then tell the caller that the outcome is unknown, at
        a time when nothing has reached the target. When the host resumes it must not
        run the request. So a claim allows dispatch only for a short time, on a clock
        that advances while the process is stopped. After that the replicas must
        confirm the claim again.
        """
        return await self._claims.confirm(token)

    async def finish(self, token: ClaimToken, answer: StoredAnswer | None) -> bool:
        """Record the outcome; return whether a majority stored it.

        If no majority answers within the timeout, recording continues in the
        background.

        Args:
            token: The claim.
            answer: The answer; None if it is unknown whether the request ran.
        """
        identity = _states.identity(token.state)
        outcome: _states.Outcome = messages.Unknown(*identity)
        if answer is not None:
            outcome = messages.Done(*identity, bound_answer(answer))
        return await self._outcomes.record(token, outcome)

    async def release(self, token: ClaimToken) -> bool:
        """Record that the request did not run; return whether a majority stored it.

        A resend may then claim the key again.
        """
        released = messages.Released(*_states.identity(token.state))
        return await self._outcomes.record(token, released)

    async def _query_attempt(self, other: messages.Claimed) -> messages.AskReply | None:
        """Query the host of an attempt for its status; None if it does not answer."""
        if other.host == self._name:
            return self._attempts.reply(other.attempt)
        try:
            return await self._peers.call(
                other.host,
                Area.RUN_ONCE,
                messages.Ask(other.attempt),
                self._call_timeout,
            )
        except PeerError:
            self._metrics.incr("run_once.ask.silent")
            return None

    async def _send(
        self, host: HostName, message: messages.Prepare | messages.Accept
    ) -> None:
        if host == self._name:
            await self._vote(host, message)
        else:
            self._peers.post(host, Area.RUN_ONCE, message)

    async def _read_page(self, host: HostName, message: messages.Read) -> messages.Page:
        return await self._peers.call(host, Area.RUN_ONCE, message, self._call_timeout)

    async def _handle(
        self, sender: HostName, message: RunOnceMessage
    ) -> messages.Page | messages.AskReply | None:
        match message:
            case messages.Prepare() | messages.Accept():
                await self._vote(sender, message)
            case Vote():
                await self._proposer.add_vote(sender, message)
            case messages.Ask(attempt=attempt):
                return self._attempts.reply(attempt)
            case messages.Read():
                return await self._recovery.serve(sender, message)
        return None

    async def _vote(
        self, proposer: HostName, message: messages.Prepare | messages.Accept
    ) -> None:
        """Vote, and send the vote after its register is durable."""
        vote, register = self._replica.vote(message)

        async def send_vote() -> None:
            if proposer == self._name:
                await self._proposer.add_vote(self._name, vote)
            else:
                self._peers.post(proposer, Area.RUN_ONCE, vote)

        if register is None:
            await send_vote()
        else:
            await self._log.submit([register], send_vote)

    async def _restore(self, records: list[LogRecord]) -> None:
        """Restore the state from the log, or start an incarnation without memory."""
        identity: Identity | None = None
        for record in records:
            match record:
                case Identity():
                    identity = record
                case PeerIncarnation(host=host, incarnation=incarnation):
                    self._voting_rights.learn_incarnation(host, incarnation)
                case Register():
                    self._replica.put(record)
        if identity is not None:
            self._owners.restore(identity.history)
            self._voting_rights.restore(identity)
        else:
            self._voting_rights.start_without_memory(self._clock.wall_ms())
        await self._log.write([self._voting_rights.identity()])
        _log.info(
            "run-once replica started",
            registers=len(self._replica.registers),
            kept_memory=identity is not None,
        )

    def _log_records(self) -> list[LogRecord]:
        incarnations = [
            PeerIncarnation(host, incarnation)
            for host, incarnation in self._voting_rights.incarnations.items()
        ]
        identity = self._voting_rights.identity()
        return [identity, *incarnations, *self._replica.records()]

    async def _expire(self) -> None:
        while True:
            self._replica.expire()
            self._metrics.gauge("run_once.registers", len(self._replica.registers))
            self._metrics.gauge("run_once.attempts", len(self._attempts))
            self._metrics.gauge("run_once.recovered", int(self.recovered))
            await curio.sleep(EXPIRY_INTERVAL)
