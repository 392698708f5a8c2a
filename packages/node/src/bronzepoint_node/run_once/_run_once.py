"""Runs each non-idempotent request at most once, whoever takes its resends."""

from collections.abc import Callable
from pathlib import Path

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.run_once import _states
from bronzepoint_node.run_once._answers import bound_answer
from bronzepoint_node.run_once._attempts import Attempts
from bronzepoint_node.run_once._background import Background
from bronzepoint_node.run_once._claims import Claims
from bronzepoint_node.run_once._clock import Clock
from bronzepoint_node.run_once._copy import Copy
from bronzepoint_node.run_once._copy_log import CopyLog, LogRecord
from bronzepoint_node.run_once._keys import KeyWindow, new_key, parse_key
from bronzepoint_node.run_once._knowledge import Knowledge
from bronzepoint_node.run_once._outcomes import Outcomes
from bronzepoint_node.run_once._owners import Owners
from bronzepoint_node.run_once._proposer import Proposer
from bronzepoint_node.run_once._recovery import Recovery
from bronzepoint_node.run_once._results import ClaimResult, ClaimToken
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
"""Seconds that another host has to tell of its attempt, or to give a page.

A round waits for the fastest majority, but such a call for one host, which may be gone:
it must be short also where the settings give rounds a long time."""
EXPIRY_INTERVAL = 1.0
"""Seconds between two rounds of dropping expired registers."""

_log = get_logger("run_once")


class RunOnce:
    """Claims idempotency keys for this host and keeps copies for the others.

    Each key has a register that a few hosts of the region keep. A host claims the key
    by a majority of them before it dispatches the request, and records the outcome
    there. No second claim succeeds unless the first one's host said that its attempt
    certainly did not run.

    Args:
        name: This host.
        peers: Messages to and from other hosts.
        region_hosts: All hosts of this region from settings and membership, live or
            not; complete as to the settings when `start` is called.
        section: Settings.
        data_folder: Folder of the log; None: this host has no disk.
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
        self._knowledge = Knowledge(name, self._owners, self._window)
        self._copy = Copy(self._owners, self._knowledge, self._window, metrics)
        self._log = CopyLog(data_folder, self._log_records, metrics)
        self._recovery = Recovery(
            name,
            self._copy,
            self._knowledge,
            self._owners,
            self._log,
            self._read,
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
            self._ask,
            metrics,
        )
        self._background = Background()
        self._call_timeout = min(CALL_TIMEOUT, section.timeout)

    async def start(self) -> None:
        """Read the log, begin to vote and, where memory was lost, to recover it.

        Raises:
            StorageInUse: Another process holds the data folder.
        """
        self._owners.begin()
        await self._restore(await self._log.start())
        self._peers.register(Area.RUN_ONCE, RunOnceMessage, self._handle)
        await self._background.spawn(self._recovery.run)
        await self._background.spawn(self._expire)

    async def close(self, grace: float | None = None) -> None:
        """Give outcomes not yet recorded a last chance, then stop.

        Args:
            grace: Seconds to wait for them; None: the timeout of the settings.
        """
        await self._outcomes.close(self._section.timeout if grace is None else grace)
        await self._background.close()
        await self._log.close()

    @property
    def ready(self) -> bool:
        """Whether this host's copies may vote on new keys."""
        if self._log.failed:
            return False
        return self._knowledge.covers(new_key(self._clock), (self._name,))

    @property
    def recovered(self) -> bool:
        """Whether this host knows all that the others can tell it."""
        return self._knowledge.recovered

    @property
    def registers(self) -> int:
        """How many registers this host keeps."""
        return len(self._copy.registers)

    def owners(self, key: IdempotencyKey) -> tuple[HostName, ...]:
        """Return the hosts that keep a key's register.

        Raises:
            InvalidKey: The key is not a UUIDv7.
        """
        return self._owners.of(parse_key(key))

    async def claim(
        self, key: IdempotencyKey, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        """Claim the right to run a request, or find out what became of it.

        Answers at once: it never waits for another attempt to end.

        Args:
            key: The caller's key.
            digest: Digest of all that makes the request: caller, target, body.
            request_id: Identifier of this request.

        Raises:
            InvalidKey: The key is not a UUIDv7.
            KeyAhead: The key was made in the future.
        """
        key_bytes = parse_key(key)
        self._window.check_ahead(key_bytes)
        result = await self._claims.claim(key_bytes, digest, request_id)
        self._metrics.incr(f"run_once.claim.{type(result).__name__.lower()}")
        return result

    async def confirm(self, token: ClaimToken) -> bool:
        """Tell whether dispatch may begin now; call right before each dispatch.

        A host may be stopped between its claim and the dispatch, for longer than
        others wait for it. They have then told the caller that the outcome is
        unknown, and whoever looked at the target saw nothing. When the host wakes up
        it must not run the request after all. So a claim allows dispatch for a short
        time only, by a clock that goes on while the process is stopped; after it the
        copies must confirm the claim anew.
        """
        return await self._claims.confirm(token)

    async def finish(self, token: ClaimToken, answer: StoredAnswer | None) -> bool:
        """Record the outcome; True once a majority keeps it.

        Where no majority answers within the timeout, recording goes on beside.

        Args:
            token: The claim.
            answer: The answer; None: whether the request ran is unknown.
        """
        identity = _states.identity(token.state)
        outcome: _states.Outcome = messages.Unknown(*identity)
        if answer is not None:
            outcome = messages.Done(*identity, bound_answer(answer))
        return await self._outcomes.record(token, outcome)

    async def release(self, token: ClaimToken) -> bool:
        """Record that the request certainly did not run; True once a majority has it.

        A resend may then claim the key anew.
        """
        released = messages.Released(*_states.identity(token.state))
        return await self._outcomes.record(token, released)

    async def _ask(self, other: messages.Claimed) -> messages.AskReply | None:
        """Ask the host of an attempt about it; None: it does not answer."""
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

    async def _read(self, host: HostName, message: messages.Read) -> messages.Page:
        return await self._peers.call(host, Area.RUN_ONCE, message, self._call_timeout)

    async def _handle(
        self, sender: HostName, message: RunOnceMessage
    ) -> messages.Page | messages.AskReply | None:
        match message:
            case messages.Prepare() | messages.Accept():
                await self._vote(sender, message)
            case Vote():
                await self._proposer.take_vote(sender, message)
            case messages.Ask(attempt=attempt):
                return self._attempts.reply(attempt)
            case messages.Read():
                return await self._recovery.serve(sender, message)
        return None

    async def _vote(
        self, proposer: HostName, message: messages.Prepare | messages.Accept
    ) -> None:
        """Vote, once what the vote says is durable."""
        vote, register = self._copy.vote(message)

        async def send_vote() -> None:
            if proposer == self._name:
                await self._proposer.take_vote(self._name, vote)
            else:
                self._peers.post(proposer, Area.RUN_ONCE, vote)

        if register is None:
            await send_vote()
        else:
            await self._log.submit([register], send_vote)

    async def _restore(self, records: list[LogRecord]) -> None:
        """Go on where the log ends, or begin an incarnation without memory."""
        identity: Identity | None = None
        for record in records:
            match record:
                case Identity():
                    identity = record
                case PeerIncarnation(host=host, incarnation=incarnation):
                    self._knowledge.learn_incarnation(host, incarnation)
                case Register():
                    self._copy.keep(record)
        if identity is not None:
            self._owners.restore(identity.history)
            self._knowledge.restore(identity)
        else:
            self._knowledge.forget(self._clock.wall_ms())
        await self._log.write([self._knowledge.identity()])
        _log.info(
            "run-once copies started",
            registers=len(self._copy.registers),
            kept_memory=identity is not None,
        )

    def _log_records(self) -> list[LogRecord]:
        incarnations = [
            PeerIncarnation(host, incarnation)
            for host, incarnation in self._knowledge.seen.items()
        ]
        identity = self._knowledge.identity()
        return [identity, *incarnations, *self._copy.records()]

    async def _expire(self) -> None:
        while True:
            self._copy.expire()
            self._metrics.gauge("run_once.registers", len(self._copy.registers))
            self._metrics.gauge("run_once.attempts", len(self._attempts))
            self._metrics.gauge("run_once.recovered", int(self.recovered))
            await curio.sleep(EXPIRY_INTERVAL)
