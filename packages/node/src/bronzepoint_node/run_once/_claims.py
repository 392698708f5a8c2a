"""Claims of keys by this host, and what becomes of other hosts' claims."""

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

Ask = Callable[[messages.Claimed], Awaitable[AskReply | None]]
"""Asks the host of an attempt about it; None where it does not answer."""

DISPATCH_WINDOW = 2.0
"""Seconds after the start of a claim within which dispatch may begin unconfirmed."""
GONE_AFTER = 5.0
"""Seconds after a claim from which its silent host is taken for gone.

Longer than the dispatch window, so that nothing can be dispatched any more under a
claim whose outcome was recorded as unknown."""
RETRY_AFTER = 1.0
"""Seconds until a resend may find that things have moved."""
MAX_TURNS = 4
"""Times a claim looks again after the register changed under it."""
_ATTEMPT_BYTES = 16


class Claims:
    """Claims keys, by rounds of votes.

    Args:
        name: This host.
        proposer: Changes registers.
        attempts: This host's own attempts.
        outcomes: Releases claims that come to nothing.
        window: Which keys are in use.
        clock: Wall and elapsed time.
        section: Settings.
        ask: Asks other hosts about their attempts.
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
        ask: Ask,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._proposer = proposer
        self._attempts = attempts
        self._outcomes = outcomes
        self._window = window
        self._clock = clock
        self._section = section
        self._ask = ask
        self._metrics = metrics

    async def claim(
        self, key: bytes, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        """Claim a key, or find out what became of it."""
        for _ in range(MAX_TURNS):
            if self._window.expired(key):
                return Expired()
            mine = self._new_claim(digest, request_id)
            result = await self._propose(key, mine, _states.claim(mine))
            if not isinstance(result, messages.Claimed):
                return _describe(result, digest)
            if result.digest != digest:
                return Mismatch()
            # Another attempt holds the key: what becomes of it?
            mine = self._new_claim(digest, request_id)
            settled = await self._settle(key, result, mine)
            if settled is not None:
                return settled
        return Unavailable("the register kept changing", RETRY_AFTER)

    async def confirm(self, token: ClaimToken) -> bool:
        """Tell whether dispatch may begin now; see `RunOnce.confirm`."""
        if token.closed:
            return False
        if self._clock.elapsed() < token.dispatch_by:
            return True
        self._metrics.incr("run_once.confirm.asked")
        if await self._claim_again(token):
            return self._clock.elapsed() < token.dispatch_by
        self._metrics.incr("run_once.confirm.lost")
        released = messages.Released(*_states.identity(token.state))
        await self._outcomes.record(token, released)
        return False

    async def _propose(
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
                await self._outcomes.abandon(key, mine, stored)
        if not held:
            return agreed.state
        return Claimed(ClaimToken(key, mine, agreed.following, dispatch_by))

    async def _settle(
        self, key: bytes, other: messages.Claimed, mine: messages.Claimed
    ) -> ClaimResult | None:
        """Find out what became of another attempt; None: the register has changed."""
        match await self._ask(other):
            case AskReply(status=AttemptStatus.running):
                return InProgress(RETRY_AFTER)
            case AskReply(status=AttemptStatus.not_run):
                result = await self._propose(key, mine, _states.replace(other, mine))
                return result if isinstance(result, Claimed | Unavailable) else None
            case AskReply(status=AttemptStatus.ended, outcome=outcome):
                return await self._settle_as(key, other, outcome)
            case AskReply(status=AttemptStatus.forgotten):
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
            return _describe(agreed.state, other.digest)
        return None

    async def _claim_again(self, token: ClaimToken) -> bool:
        """Renew a claim whose dispatch window has passed."""
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


def _describe(
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
    return Unavailable("the register changed under the claim", RETRY_AFTER)


def _unknown(other: messages.Claimed) -> messages.Unknown:
    return messages.Unknown(*_states.identity(other))
