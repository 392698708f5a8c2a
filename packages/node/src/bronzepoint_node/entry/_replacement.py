"""Another place for a request whose answer from another region is late."""

from collections.abc import Awaitable, Callable

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._outcomes import Failed, Outcome
from bronzepoint_node.entry._refusals import RequestRefused
from bronzepoint_node.entry._region_views import region_views
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import (
    LocalPlacement,
    RegionView,
    RemotePlacement,
    TargetView,
    Ticket,
)
from bronzepoint_schema.generated.decisions import RetryReason, TryResult
from bronzepoint_schema.ids import RegionName

RECHECK_INTERVAL = 0.25
"""Seconds between two searches for another place while an answer is late."""

_log = get_logger("entry")


class Replacement:
    """Finds and holds another place for a request.

    A late answer doesn't show that the request is lost: the target may be slow. The
    other region is therefore left only for a place that is already held.

    Args:
        dependencies: The other components of the daemon.
        check: Checks a request against the current catalogue.
        request: The request.
        ticket: Admission of the request under its limits.

    Attributes:
        is_allowed: Whether another try may follow the current one.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        check: CatalogueCheck,
        request: ServedRequest,
        ticket: Ticket,
    ) -> None:
        self._dependencies = dependencies
        self._check = check
        self._request = request
        self._ticket = ticket
        self._held: LocalPlacement | RemotePlacement | None = None
        self.is_allowed = True

    def find(self, region: RegionName) -> bool:
        """Hold a place outside a region; return False if there is none now.

        Args:
            region: The region whose answer is late.
        """
        request = self._request
        if not self.is_allowed or request.deadline_left() <= 0:
            return False
        try:
            entry = self._check.entry(request)
        except RequestRefused as exc:
            _log.info("no replacement", request=request.trace.request_id, why=str(exc))
            return False
        request.view.allowed_regions = request.allowed_by(entry)
        dependencies = self._dependencies

        def targets() -> list[TargetView]:
            return dependencies.targets.views(entry.name, request.view.prefix_hashes)

        def regions() -> list[RegionView]:
            return region_views(entry, list(dependencies.membership.regions().values()))

        self._held = dependencies.policy.find_replacement(
            self._ticket, region, targets, regions
        )
        if isinstance(self._held, LocalPlacement):
            name = self._held.target.name
            dependencies.targets.begin(name, request.view.prefix_hashes)
        return self._held is not None

    def take(self) -> LocalPlacement | RemotePlacement | None:
        """Return the held place, which the caller uses before it awaits anything."""
        held, self._held = self._held, None
        return held

    def release(self) -> None:
        """Give up the held place, if any."""
        held = self.take()
        if isinstance(held, LocalPlacement):
            name = held.target.name
            self._dependencies.targets.finish(name, TryResult.cancelled, 0.0)


async def send_unless_replaced(
    send: Callable[[], Awaitable[Outcome]],
    arrived: curio.Event,
    max_wait: float,
    find: Callable[[], bool],
) -> Outcome:
    """Send a request, and leave it if it is late and another place is held.

    Args:
        send: Sends the request and relays its response.
        arrived: Set as soon as the head of the response has arrived.
        max_wait: Seconds after which the response is late.
        find: Holds another place; returns False if there is none.
    """

    async def work() -> Outcome | Exception:
        # The exception is returned, since curio logs every task that raises one.
        try:
            return await send()
        except Exception as exc:
            return exc
        finally:
            await arrived.set()

    working = await curio.spawn(work)
    try:
        wait = max_wait
        while not arrived.is_set():
            async with curio.ignore_after(wait):
                await arrived.wait()
            if not arrived.is_set() and find():
                return Failed(
                    TryResult.timeout,
                    f"no response within {max_wait:.2f} s, sent elsewhere",
                    RetryReason.target_error,
                    granted=True,
                )
            wait = RECHECK_INTERVAL
        result = await working.join()
    finally:
        await working.cancel()
    if isinstance(result, Exception):
        raise result
    return result
