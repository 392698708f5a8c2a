"""Runs each non-idempotent request at most once, whoever takes its resends."""

import secrets
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
from bronzepoint_node.run_once._clock import MS_PER_SECOND, Clock
from bronzepoint_node.run_once._copy import Copy
from bronzepoint_node.run_once._copy_log import CopyLog, LogRecord
from bronzepoint_node.run_once._errors import RoundFailed
from bronzepoint_node.run_once._keys import KeyWindow, new_key, parse_key
from bronzepoint_node.run_once._knowledge import Knowledge
from bronzepoint_node.run_once._owners import Owners
from bronzepoint_node.run_once._proposer import Agreed, Proposer
from bronzepoint_node.run_once._recovery import Recovery
from bronzepoint_node.run_once._results import (
    Claimed,
    ClaimResult,
    ClaimToken,
    Done,
    Expired,
    InProgress,
    Mismatch,
    Unavailable,
    Unknown,
)
from bronzepoint_schema.generated import run_once as messages
from bronzepoint_schema.generated.run_once import (
    AttemptStatus,
    Identity,
    PeerIncarnation,
    Register,
    RunOnceMessage,
    StoredAnswer,
    Vote,
)
from bronzepoint_schema.generated.settings import RunOnceSection
from bronzepoint_schema.ids import HostName, IdempotencyKey, RequestId

DISPATCH_WINDOW = 2.0
"""Seconds after the start of a claim within which dispatch may begin unconfirmed."""
GONE_AFTER = 5.0
"""Seconds after a claim from which its silent host is taken for gone.

Longer than the dispatch window, so that nothing can be dispatched any more under a
claim whose outcome was recorded as unknown."""
RETRY_AFTER = 1.0
"""Seconds until a resend may find that things have moved."""
MAX_CONCLUDE_PAUSE = 5.0
"""Longest pause (s) between two tries to record an outcome."""
CLAIM_TURNS = 4
"""Times a claim looks again after the register changed under it."""
EXPIRY_INTERVAL = 1.0
"""Seconds between two rounds of dropping expired registers."""
_ATTEMPT_BYTES = 16

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
        self._region_hosts = region_hosts
        self._section = section
        self._metrics = metrics
        self._clock = clock if clock is not None else Clock()
        self._window = KeyWindow(section.lifetime, section.clock_skew, self._clock)
        self._attempts = Attempts()
        self._log = CopyLog(data_folder, self._log_records, metrics)
        self._tasks = Background()
        self._concluding = 0

    async def start(self) -> None:
        """Read the log, begin to vote and, where memory was lost, to recover it.

        Raises:
            StorageInUse: Another process holds the data folder.
        """
        self._owners = Owners(
            self._name,
            self._region_hosts,
            self._section.copies,
            self._window,
            self._clock,
        )
        self._knowledge = Knowledge(self._name, self._owners, self._window)
        self._copy = Copy(self._owners, self._knowledge, self._window, self._metrics)
        self._proposer = Proposer(self._name, self._owners, self._send, self._metrics)
        self._recovery = Recovery(
            self._name,
            self._copy,
            self._knowledge,
            self._owners,
            self._window,
            self._log,
            self._read,
            self._metrics,
        )
        await self._restore(await self._log.start())
        self._peers.register(Area.RUN_ONCE, RunOnceMessage, self._handle)
        await self._tasks.spawn(self._recovery.run)
        await self._tasks.spawn(self._expire)

    async def close(self, grace: float | None = None) -> None:
        """Give outcomes not yet recorded a last chance, then stop.

        Args:
            grace: Seconds to wait for them; None: the timeout of the settings.
        """
        grace = self._section.timeout if grace is None else grace
        deadline = await curio.clock() + grace
        while self._concluding and await curio.clock() < deadline:
            await curio.sleep(RETRY_AFTER / 20)
        await self._tasks.close()
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
        return self._knowledge.floor == 0 or self._knowledge.has_read_all()

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
        result = await self._claim(key_bytes, digest, request_id)
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
        if token.closed:
            return False
        if self._clock.elapsed() < token.dispatch_by:
            return True
        self._metrics.incr("run_once.confirm.asked")
        if await self._claim_again(token):
            return self._clock.elapsed() < token.dispatch_by
        self._metrics.incr("run_once.confirm.lost")
        await self.release(token)
        return False

    async def finish(self, token: ClaimToken, answer: StoredAnswer | None) -> bool:
        """Record the outcome; True once a majority keeps it.

        Where no majority answers within the timeout, recording goes on beside.

        Args:
            token: The claim.
            answer: The answer; None: whether the request ran is unknown.
        """
        outcome: messages.Done | messages.Unknown
        if answer is None:
            outcome = messages.Unknown(*_identity(token.state))
        else:
            outcome = messages.Done(*_identity(token.state), bound_answer(answer))
        return await self._close_token(token, outcome)

    async def release(self, token: ClaimToken) -> bool:
        """Record that the request certainly did not run; True once a majority has it.

        A resend may then claim the key anew.
        """
        return await self._close_token(
            token, messages.Released(*_identity(token.state))
        )

    async def _claim(
        self, key: bytes, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        for _ in range(CLAIM_TURNS):
            if self._window.expired(key):
                return Expired()
            mine = self._new_claim(digest, request_id)
            result = await self._propose_claim(key, mine, _states.claim(mine))
            if not isinstance(result, messages.Claimed):
                return self._describe(result, digest)
            if result.digest != digest:
                return Mismatch()
            # Another attempt holds the key: what becomes of it?
            mine = self._new_claim(digest, request_id)
            settled = await self._settle(key, result, mine)
            if settled is not None:
                return settled
        return Unavailable("the register kept changing", RETRY_AFTER)

    async def _propose_claim(
        self, key: bytes, mine: messages.Claimed, change: _states.Change
    ) -> Claimed | Unavailable | _states.State | None:
        """Propose one's own claim; return it, or the state that stands in its way."""
        dispatch_by = self._clock.elapsed() + DISPATCH_WINDOW
        self._attempts.begin(mine.attempt)
        held = False
        stored = True
        try:
            agreed = await self._proposer.change(key, change, self._section.timeout)
            held = _states.is_claim_of(mine.attempt, agreed.state)
            stored = False
        except RoundFailed as exc:
            stored = exc.stored
            return Unavailable(exc.reason, RETRY_AFTER)
        finally:
            # Also where the caller left and this task was cancelled in between.
            if not held:
                await self._abandon(key, mine, stored)
        if not held:
            return agreed.state
        return Claimed(ClaimToken(key, mine, agreed.following, dispatch_by))

    async def _settle(
        self, key: bytes, other: messages.Claimed, mine: messages.Claimed
    ) -> ClaimResult | None:
        """Find out what became of another attempt; None: the register has changed."""
        reply = await self._ask(other)
        match reply:
            case messages.AskReply(status=AttemptStatus.running):
                return InProgress(RETRY_AFTER)
            case messages.AskReply(status=AttemptStatus.not_run):
                change = _states.replace(other, mine)
                result = await self._propose_claim(key, mine, change)
                if isinstance(result, Claimed | Unavailable):
                    return result
                return None
            case messages.AskReply(status=AttemptStatus.ended, outcome=outcome):
                return await self._settle_as(key, other, outcome)
            case messages.AskReply(status=AttemptStatus.forgotten):
                return await self._settle_as(key, other, _unknown(other))
        age = (self._clock.wall_ms() - other.claimed_at) / MS_PER_SECOND
        patience = GONE_AFTER + self._section.clock_skew - age
        if patience > 0:
            return InProgress(max(patience, RETRY_AFTER))
        return await self._settle_as(key, other, _unknown(other))

    async def _settle_as(
        self,
        key: bytes,
        other: messages.Claimed,
        outcome: messages.Done | messages.Unknown,
    ) -> ClaimResult | None:
        change = _states.replace(other, outcome)
        try:
            agreed = await self._proposer.change(key, change, self._section.timeout)
        except RoundFailed as exc:
            return Unavailable(exc.reason, RETRY_AFTER)
        if isinstance(agreed.state, messages.Done | messages.Unknown):
            return self._describe(agreed.state, other.digest)
        return None

    async def _ask(self, other: messages.Claimed) -> messages.AskReply | None:
        """Ask the host of an attempt about it; None: it does not answer."""
        if other.host == self._name:
            return self._attempts.reply(other.attempt)
        try:
            return await self._peers.call(
                other.host,
                Area.RUN_ONCE,
                messages.Ask(other.attempt),
                self._section.timeout,
            )
        except PeerError:
            self._metrics.incr("run_once.ask.silent")
            return None

    def _describe(
        self,
        state: Claimed | Unavailable | _states.State | None,
        digest: bytes,
    ) -> ClaimResult:
        match state:
            case Claimed() | Unavailable():
                return state
            case messages.Done() | messages.Unknown() | messages.Released() if (
                state.digest != digest
            ):
                return Mismatch()
            case messages.Done(answer=answer):
                return Done(answer)
            case messages.Unknown():
                return Unknown()
        return Unavailable("the register changed under the claim", RETRY_AFTER)

    async def _claim_again(self, token: ClaimToken) -> bool:
        """Renew a claim whose dispatch window has passed."""
        dispatch_by = self._clock.elapsed() + DISPATCH_WINDOW
        renewed = messages.Claimed(
            *_identity(token.state), claimed_at=self._clock.wall_ms()
        )
        change = _states.replace(token.state, renewed)
        try:
            agreed = await self._proposer.change(
                token.key, change, self._section.timeout
            )
        except RoundFailed:
            return False
        if agreed.state != renewed or token.closed:
            return False
        token.state = renewed
        token.following = agreed.following
        token.dispatch_by = dispatch_by
        return True

    async def _close_token(
        self,
        token: ClaimToken,
        outcome: messages.Done | messages.Unknown | messages.Released,
    ) -> bool:
        if token.closed:
            return True
        token.closed = True
        attempt = token.state.attempt
        self._attempts.end(attempt, outcome)
        try:
            await self._conclude_promised(token, outcome)
        except RoundFailed:
            self._metrics.incr("retry.run_once_conclude")
            await self._conclude_beside(token.key, attempt, outcome)
            return False
        self._attempts.drop(attempt)
        return True

    async def _abandon(self, key: bytes, mine: messages.Claimed, stored: bool) -> None:
        """Give up a claim that was not agreed on, before anything was dispatched.

        Some copies may keep the claim, and a later round may find and spread it. The
        key would then stay claimed by an attempt that never runs, so it is released.
        """
        released = messages.Released(*_identity(mine))
        self._attempts.end(mine.attempt, released)
        if stored:
            await self._conclude_beside(key, mine.attempt, released)
        else:
            self._attempts.drop(mine.attempt)

    async def _conclude_promised(
        self,
        token: ClaimToken,
        outcome: messages.Done | messages.Unknown | messages.Released,
    ) -> None:
        """Record an outcome by the ballot promised with the claim, if it stands."""
        if token.following is not None and await self._proposer.change_promised(
            token.key, token.following, outcome, self._section.timeout
        ):
            return
        await self._conclude(token.key, token.state.attempt, outcome)

    async def _conclude(
        self,
        key: bytes,
        attempt: bytes,
        outcome: messages.Done | messages.Unknown | messages.Released,
    ) -> Agreed:
        change = _states.conclude(attempt, outcome)
        return await self._proposer.change(key, change, self._section.timeout)

    async def _conclude_beside(
        self,
        key: bytes,
        attempt: bytes,
        outcome: messages.Done | messages.Unknown | messages.Released,
    ) -> None:
        self._concluding += 1
        await self._tasks.spawn(self._conclude_in_time, key, attempt, outcome)

    async def _conclude_in_time(
        self,
        key: bytes,
        attempt: bytes,
        outcome: messages.Done | messages.Unknown | messages.Released,
    ) -> None:
        """Record an outcome, trying again until the key has expired."""
        pause = RETRY_AFTER / 10
        try:
            while not self._window.forgotten(key):
                try:
                    await self._conclude(key, attempt, outcome)
                    break
                except RoundFailed:
                    self._metrics.incr("retry.run_once_conclude")
                await curio.sleep(pause)
                pause = min(2 * pause, MAX_CONCLUDE_PAUSE)
        finally:
            self._concluding -= 1
            self._attempts.drop(attempt)

    def _new_claim(self, digest: bytes, request_id: RequestId) -> messages.Claimed:
        return messages.Claimed(
            attempt=secrets.token_bytes(_ATTEMPT_BYTES),
            host=self._name,
            digest=digest,
            request_id=request_id,
            claimed_at=self._clock.wall_ms(),
        )

    async def _send(
        self, host: HostName, message: messages.Prepare | messages.Accept
    ) -> None:
        if host == self._name:
            await self._vote(host, message)
        else:
            self._peers.post(host, Area.RUN_ONCE, message)

    async def _read(self, host: HostName, message: messages.Read) -> messages.Page:
        return await self._peers.call(
            host, Area.RUN_ONCE, message, self._section.timeout
        )

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
        """Go on where the log ends, or begin a life without memory."""
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


def _identity(
    state: messages.Claimed,
) -> tuple[bytes, HostName, bytes, RequestId]:
    return (state.attempt, state.host, state.digest, state.request_id)


def _unknown(other: messages.Claimed) -> messages.Unknown:
    return messages.Unknown(*_identity(other))
