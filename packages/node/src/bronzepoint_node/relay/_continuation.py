"""Going on with a stream whose target broke it off, from a copy of its memory."""

from dataclasses import dataclass
from typing import Protocol

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.placement import TargetTable, Tracked

from ._call import Call, GoOn

TIMES_ASKED = 2
"""Times that a target is asked that takes no connection: of two packets in a row both
are lost once in 600 times on the worst links that the users have."""

_log = get_logger("relay")


@dataclass(frozen=True)
class RunGone:
    """The target doesn't work on the run: it says so, or nothing listens there."""


@dataclass(frozen=True)
class RunStopped:
    """The target worked on the run still, and has stopped it now.

    Attributes:
        handle: Name of the run's memory, for the request that goes on with it.
        copied: The other target has all of it; else the target keeps it itself.
    """

    handle: str
    copied: bool


@dataclass(frozen=True)
class RunOutOfReach:
    """The target takes no connection."""


@dataclass(frozen=True)
class RunUnclear:
    """The target can be reached, and may work on the run still."""

    reason: str


RunState = RunGone | RunStopped | RunOutOfReach | RunUnclear


class RunStopper(Protocol):
    """Stops runs; see the platform's adapter."""

    async def stop(self, address: str, request_id: str, to: str) -> RunState:
        """Stop a run, and copy its memory.

        Args:
            address: Target that has worked on it.
            request_id: Its request.
            to: Address of the target that gets the copy.
        """


class Continuation:
    """Finds out how a stream that was broken off may go on.

    Two targets must never work for one run at a time: the caller would get pieces of
    both, and what runs once at most would run twice. That a connection was cut doesn't
    prove that the run has ended. So the former target is asked to stop it, and only its
    word, or that it can't be reached at all, lets another one go on.

    Args:
        table: Targets of the region.
        stopper: Stops runs.
        metrics: Counters.
    """

    def __init__(
        self, table: TargetTable, stopper: RunStopper, metrics: Metrics
    ) -> None:
        self._table = table
        self._stopper = stopper
        self._metrics = metrics

    async def find(self, call: Call, former: Tracked, backup: Tracked) -> GoOn | None:
        """Return how a stream goes on; None: it can't.

        Args:
            call: Its request.
            former: Target that has broken it off.
            backup: Target that was to keep a copy.
        """
        request_id = call.head.request_id
        state = await self._stop(request_id, former, backup)
        self._metrics.incr(f"continuation.{type(state).__name__}")
        _log.info(
            "stream broken off",
            request=request_id,
            target=former.info.incarnation,
            backup=backup.info.incarnation,
            state=str(state),
        )
        # By now it may have gone, too.
        target = self._table.get(backup.info.incarnation)
        match state:
            case RunUnclear():
                return None
            case RunStopped(handle=handle, copied=False):
                return GoOn(former, f"{former.info.address}/{handle}")
            case _ if target is None:
                return None
            case RunStopped(handle=handle):
                return GoOn(target, f"{former.info.address}/{handle}")
            case RunGone() | RunOutOfReach():
                return GoOn(target, f"{target.info.address}/{request_id}")

    async def _stop(
        self, request_id: str, former: Tracked, backup: Tracked
    ) -> RunState:
        """Ask the former target to stop a run; ask again where it isn't reached.

        One lost packet makes a connection late by a second. Taken for a target that is
        gone, it would let two of them work for one run.
        """
        state: RunState = RunOutOfReach()
        for _ in range(TIMES_ASKED):
            state = await self._stopper.stop(
                former.info.address, request_id, backup.info.address
            )
            if not isinstance(state, RunOutOfReach):
                break
        return state
