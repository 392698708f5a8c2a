"""Records how attempts of this host ended, for as long as that takes."""

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.run_once import _states
from bronzepoint_node.run_once._attempts import Attempts
from bronzepoint_node.run_once._background import Background
from bronzepoint_node.run_once._errors import RoundFailed
from bronzepoint_node.run_once._keys import KeyWindow
from bronzepoint_node.run_once._proposer import Proposer
from bronzepoint_node.run_once._results import ClaimToken
from bronzepoint_schema.generated.run_once import Claimed, Released

FIRST_PAUSE = 0.1
"""Seconds until a second try to record an outcome."""
MAX_PAUSE = 5.0
"""Longest pause (s) between two tries."""
POLL = 0.05
"""Seconds between two looks at whether all outcomes are recorded."""


class Outcomes:
    """Records outcomes; what no majority takes in time is tried again beside.

    Args:
        proposer: Changes registers.
        attempts: Answers others meanwhile.
        window: Which keys are in use.
        timeout: Seconds for one try.
        metrics: Counts tries that failed.
    """

    def __init__(
        self,
        proposer: Proposer,
        attempts: Attempts,
        window: KeyWindow,
        timeout: float,
        metrics: Metrics,
    ) -> None:
        self._proposer = proposer
        self._attempts = attempts
        self._window = window
        self._timeout = timeout
        self._metrics = metrics
        self._background = Background()
        self._open = 0

    async def close(self, grace: float) -> None:
        """Give open outcomes so many seconds, then stop."""
        deadline = await curio.clock() + grace
        while self._open and await curio.clock() < deadline:
            await curio.sleep(POLL)
        await self._background.close()

    async def record(self, token: ClaimToken, outcome: _states.Outcome) -> bool:
        """Record the outcome of a claim; False where it is tried again beside."""
        if token.closed:
            return True
        token.closed = True
        attempt = token.state.attempt
        self._attempts.end(attempt, outcome)
        recorded = False
        try:
            await self._record_now(token, outcome)
            recorded = True
        except RoundFailed:
            self._metrics.incr("retry.run_once_conclude")
        finally:
            # Also where the caller left and this task was cancelled: the key would
            # stay claimed until this host restarts, and the answer be lost then.
            if recorded:
                self._attempts.drop(attempt)
            else:
                await self._record_beside(token.key, attempt, outcome)
        return recorded

    async def abandon(self, key: bytes, claim: Claimed, stored: bool) -> None:
        """Give up a claim that was not agreed on, before anything was dispatched.

        Some copies may keep the claim, and a later round may find and spread it. The
        key would then stay claimed by an attempt that never runs, so it is released.

        Args:
            key: The key.
            claim: What was proposed.
            stored: Whether any copy may keep it.
        """
        released = Released(*_states.identity(claim))
        self._attempts.end(claim.attempt, released)
        if stored:
            await self._record_beside(key, claim.attempt, released)
        else:
            self._attempts.drop(claim.attempt)

    async def _record_now(self, token: ClaimToken, outcome: _states.Outcome) -> None:
        """Use the ballot promised with the claim, if it still stands."""
        if token.following is not None and await self._proposer.change_promised(
            token.key, token.following, outcome, self._timeout
        ):
            return
        await self._conclude(token.key, token.state.attempt, outcome)

    async def _conclude(
        self, key: bytes, attempt: bytes, outcome: _states.Outcome
    ) -> None:
        change = _states.conclude(attempt, outcome)
        await self._proposer.change(key, change, self._timeout)

    async def _record_beside(
        self, key: bytes, attempt: bytes, outcome: _states.Outcome
    ) -> None:
        self._open += 1
        await self._background.spawn(self._keep_trying, key, attempt, outcome)

    async def _keep_trying(
        self, key: bytes, attempt: bytes, outcome: _states.Outcome
    ) -> None:
        """Record an outcome, trying again until the key has expired."""
        pause = FIRST_PAUSE
        try:
            while not self._window.forgotten(key):
                try:
                    await self._conclude(key, attempt, outcome)
                    return
                except RoundFailed:
                    self._metrics.incr("retry.run_once_conclude")
                await curio.sleep(pause)
                pause = min(2 * pause, MAX_PAUSE)
        finally:
            self._open -= 1
            self._attempts.drop(attempt)
