"""Records the outcomes of this host's attempts, with retries."""

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.run_once import _states
from bronzepoint_node.run_once._attempts import Attempts
from bronzepoint_node.run_once._background import BackgroundTasks
from bronzepoint_node.run_once._errors import RoundFailed
from bronzepoint_node.run_once._keys import KeyWindow
from bronzepoint_node.run_once._proposer import Proposer
from bronzepoint_node.run_once._results import ClaimToken
from bronzepoint_schema.generated.run_once import Claimed, Released

FIRST_PAUSE = 0.1
"""Seconds before the second try to record an outcome."""
MAX_PAUSE = 5.0
"""Maximum pause (s) between two tries."""
POLL_INTERVAL = 0.05
"""Seconds between two checks whether all outcomes are recorded."""


class Outcomes:
    """Records outcomes; if no majority answers in time, retries in the background.

    Args:
        proposer: Changes registers.
        attempts: Answers queries of other hosts until the outcome is recorded.
        window: Determines which keys are in use.
        timeout: Seconds for one try.
        metrics: Counts failed tries.
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
        self._background = BackgroundTasks()
        self._pending = 0

    async def close(self, grace: float) -> None:
        """Wait up to `grace` seconds for outcomes not yet recorded, then stop."""
        deadline = await curio.clock() + grace
        while self._pending and await curio.clock() < deadline:
            await curio.sleep(POLL_INTERVAL)
        await self._background.close()

    async def record(self, token: ClaimToken, outcome: _states.Outcome) -> bool:
        """Record the outcome of a claim; False if it is retried in the background."""
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
            # This also runs if the caller disconnected and this task was cancelled.
            # Otherwise the key would stay claimed until this host restarts, and the
            # answer would then be lost.
            if recorded:
                self._attempts.drop(attempt)
            else:
                await self._record_in_background(token.key, attempt, outcome)
        return recorded

    async def abandon(self, key: bytes, claim: Claimed, stored: bool) -> None:
        """Release a claim that was not agreed on, before anything was dispatched.

        Some replicas may have stored the claim, and a later round may find it and
        store it on a majority. The key would then stay claimed by an attempt that
        never runs.

        Args:
            key: The key.
            claim: The proposed claim.
            stored: Whether any replica may have stored it.
        """
        released = Released(*_states.identity(claim))
        self._attempts.end(claim.attempt, released)
        if stored:
            await self._record_in_background(key, claim.attempt, released)
        else:
            self._attempts.drop(claim.attempt)

    async def _record_now(self, token: ClaimToken, outcome: _states.Outcome) -> None:
        """Record an outcome with the ballot promised to the claim or in a new round."""
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

    async def _record_in_background(
        self, key: bytes, attempt: bytes, outcome: _states.Outcome
    ) -> None:
        self._pending += 1
        await self._background.spawn(self._retry_until_recorded, key, attempt, outcome)

    async def _retry_until_recorded(
        self, key: bytes, attempt: bytes, outcome: _states.Outcome
    ) -> None:
        """Record an outcome, retrying until the key has expired."""
        pause = FIRST_PAUSE
        try:
            while not self._window.may_be_dropped(key):
                try:
                    await self._conclude(key, attempt, outcome)
                    return
                except RoundFailed:
                    self._metrics.incr("retry.run_once_conclude")
                await curio.sleep(pause)
                pause = min(2 * pause, MAX_PAUSE)
        finally:
            self._pending -= 1
            self._attempts.drop(attempt)
