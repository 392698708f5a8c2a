"""Check that the core has confirmed what this host knows since its last pause."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.pause_detector import PauseDetector
from bronzepoint_node.fleet import SyncClient

from ._authenticator import (
    CONFIRM_STEP,
    CONFIRM_WAIT,
    CONFIRMED_WITHIN,
)

MIN_PAUSE = CONFIRMED_WITHIN
"""Seconds without running after which the knowledge of this host may be outdated."""


class ResumeCheck:
    """Holds requests back after a pause until the core has answered.

    The catalogue, the targets, their versions and the closed data centers may have
    changed meanwhile, and requests that waited in the sockets are read at once. If the
    core doesn't answer within `CONFIRM_WAIT`, the host serves by what it knows, as one
    that is cut off does.

    Args:
        sync_client: Source of the age of what this host knows.
        metrics: Counts the requests that had to wait.
    """

    def __init__(self, sync_client: SyncClient, metrics: Metrics) -> None:
        self._sync_client = sync_client
        self._metrics = metrics
        self._pauses = PauseDetector(MIN_PAUSE, CONFIRM_WAIT)

    async def start(self) -> None:
        """Start watching for pauses of this process."""
        await self._pauses.start()

    async def close(self) -> None:
        """Stop watching."""
        await self._pauses.close()

    def is_outdated(self) -> bool:
        """Return whether what this host knows is from before a pause."""
        has_resumed = self._pauses.has_just_resumed()
        return has_resumed and self._sync_client.confirmed_age() > CONFIRMED_WITHIN

    async def wait(self, max_wait: float) -> bool:
        """Wait until this host may act on what it knows; False: not in time.

        A host that is paused again and again never seems to be up to date, so no wait
        is longer than `CONFIRM_WAIT`.

        Args:
            max_wait: Maximum seconds to wait.
        """
        if not self.is_outdated():
            return True
        self._metrics.incr("resume.waited")
        until = monotonic() + min(max_wait, CONFIRM_WAIT)
        while self.is_outdated():
            if monotonic() >= until:
                return False
            await curio.sleep(CONFIRM_STEP)
        return True


__all__ = ["ResumeCheck"]
