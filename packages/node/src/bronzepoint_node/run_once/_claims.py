"""Claims keys for this host and resolves the claims of other hosts."""

import secrets
from collections.abc import Awaitable, Callable

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.run_once import _states
from bronzepoint_node.run_once._attempts import Attempts
from bronzepoint_node.run_once._clock import MS_PER_SECOND, Clock
from bronzepoint_node.run_once._errors import RoundFailed
from bronzepoint_node.run_once._keys import KeyWindow
from bronzepoint_node.run_once._outcomes import Outcomes
from bronzepoint_node.run_once._proposer import Proposer
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
from bronzepoint_schema.generated.run_once import AskReply, AttemptStatus
from bronzepoint_schema.generated.settings import RunOnceSection
from bronzepoint_schema.ids import HostName, RequestId

QueryAttempt = Callable[[messages.Claimed], Awaitable[AskReply | None]]
"""Queries the host of an attempt for its status; None if it does not answer."""

DISPATCH_WINDOW = 2.0
"""Seconds after the start of a claim in which dispatch needs no confirmation."""
CLAIMANT_TIMEOUT = 5.0
"""Seconds after a claim until its unresponsive host is considered failed.

It is longer than the dispatch window, so that no request can be dispatched under a
claim whose outcome was recorded as unknown."""
RETRY_AFTER = 1.0
"""Seconds that a caller is told to wait before it resends."""
MAX_CLAIM_TRIES = 4
"""Maximum tries of a claim whose register is changed concurrently."""
_ATTEMPT_BYTES = 16


class Claims:
    """Claims keys by consensus among the replicas of their registers.

    Args:
        name: This host.
        proposer: Changes registers.
        attempts: This host's own attempts.
        outcomes: Releases claims that were not agreed on.
        window: Determines which keys are in use.
        clock: Wall and elapsed time.
        section: Settings.
        query: Queries other hosts about their attempts.
        metrics: Counts confirmations.
    """

    def __init__(
        self,
        name: HostName,
        proposer: Proposer,
        attempts: Attempts,
        outcomes: Outcomes,
        window: KeyWindow,
        clock: Clock,
        section: RunOnceSection,
        query: QueryAttempt,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._proposer = proposer
        self._attempts = attempts
        self._outcomes = outcomes
        self._window = window
        self._clock = clock
        self._section = section
        self._query = query
        self._metrics = metrics

    async def claim(
        self, key: bytes, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        """Claim a key, or return the result of the attempt that holds it."""
        for _ in range(MAX_CLAIM_TRIES):
            if self._window.is_expired(key):
                return Expired()
            own_claim = self._new_claim(digest, request_id)
            result = await self._propose(key, own_claim, _states.claim(own_claim))
            if not isinstance(result, messages.Claimed):
                return _to_result(result, digest)
            if result.digest != digest:
                return Mismatch()
            # Another attempt holds the key: resolve its outcome.
            own_claim = self._new_claim(digest, request_id)
            resolved = await self._resolve(key, result, own_claim)
            if resolved is not None:
                return resolved
        return Unavailable(
            "the register was changed concurrently by other claims", RETRY_AFTER
        )

    async def confirm(self, token: ClaimToken) -> bool:
        """Return whether dispatch may begin now; see `RunOnce.confirm`."""
        if token.closed:
            return False
        if self._clock.elapsed() < token.dispatch_by:
            return True
        self._metrics.incr("run_once.confirm.asked")
        if await self._renew_claim(token):
            return self._clock.elapsed() < token.dispatch_by
        self._metrics.incr("run_once.confirm.lost")
        released = messages.Released(*_states.identity(token.state))
        await self._outcomes.record(token, released)
        return False

    async def _propose(
        self, key: bytes, own_claim: messages.Claimed, change: _states.Change
    ) -> Claimed | Unavailable | _states.State | None:
        """Propose a claim of this host; return it, or the state that prevents it."""
        dispatch_by = self._clock.elapsed() + DISPATCH_WINDOW
        self._attempts.begin(own_claim.attempt)
        is_claimed = False
        stored = True
        try:
            agreed = await self._proposer.change(key, change, self._section.timeout)
            is_claimed = _states.is_claim_of(own_claim.attempt, agreed.state)
            stored = False
        except RoundFailed as exc:
            stored = exc.stored
            return Unavailable(exc.reason, RETRY_AFTER)
        finally:
            # This also runs if the caller disconnected and this task was cancelled.
            if not is_claimed:
                await self._outcomes.abandon(key, own_claim, stored)
        if not is_claimed:
            return agreed.state
        return Claimed(ClaimToken(key, own_claim, agreed.following, dispatch_by))

    async def _resolve(
        self, key: bytes, other: messages.Claimed, own_claim: messages.Claimed
    ) -> ClaimResult | None:
        """Resolve another attempt; return None if the register has changed."""
        match await self._query(other):
            case AskReply(status=AttemptStatus.running):
                return InProgress(RETRY_AFTER)
            case AskReply(status=AttemptStatus.not_run):
                result = await self._propose(
                    key, own_claim, _states.replace(other, own_claim)
                )
                return result if isinstance(result, Claimed | Unavailable) else None
            case AskReply(status=AttemptStatus.ended, outcome=outcome):
                return await self._store_resolution(key, other, outcome)
            case AskReply(status=AttemptStatus.forgotten):
                return await self._store_resolution(key, other, _unknown_outcome(other))
        age = (self._clock.wall_ms() - other.claimed_at) / MS_PER_SECOND
        time_left = CLAIMANT_TIMEOUT + self._section.clock_skew - age
        if time_left > 0:
            return InProgress(max(time_left, RETRY_AFTER))
        return await self._store_resolution(key, other, _unknown_outcome(other))

    async def _store_resolution(
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
            return _to_result(agreed.state, other.digest)
        return None

    async def _renew_claim(self, token: ClaimToken) -> bool:
        """Renew a claim after its dispatch window has passed."""
        dispatch_by = self._clock.elapsed() + DISPATCH_WINDOW
        identity = _states.identity(token.state)
        renewed = messages.Claimed(*identity, claimed_at=self._clock.wall_ms())
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

    def _new_claim(self, digest: bytes, request_id: RequestId) -> messages.Claimed:
        return messages.Claimed(
            attempt=secrets.token_bytes(_ATTEMPT_BYTES),
            host=self._name,
            digest=digest,
            request_id=request_id,
            claimed_at=self._clock.wall_ms(),
        )


def _to_result(
    state: Claimed | Unavailable | _states.State | None, digest: bytes
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
    return Unavailable("the register changed during the claim", RETRY_AFTER)


def _unknown_outcome(other: messages.Claimed) -> messages.Unknown:
    return messages.Unknown(*_states.identity(other))
