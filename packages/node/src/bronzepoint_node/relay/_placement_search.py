"""Search of a place for one request: in the own region, or in another one."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement import (
    LocalPlacement,
    LocalResult,
    NoLocalTarget,
    Placement,
    PlacementRequest,
    Placer,
    Rejected,
    RemotePlacement,
    SchedulerClient,
)

from ._call import Call

PLACEMENT_INTERVAL = 0.1
"""Seconds between two placement requests while only other regions may serve the request
and none has free capacity."""


LEASED_WAIT = 0.3
"""Maximum seconds that a request of another region waits here under a lease. Its region
has counted on room at once, and other regions may have some."""


class PlacementSearch:
    """Finds the target, or the host of another region, that a request is sent to.

    Args:
        placer: Chooses between the own region and the others.
        scheduler: Finds targets of the own region.
    """

    def __init__(self, placer: Placer, scheduler: SchedulerClient) -> None:
        self._placer = placer
        self._scheduler = scheduler

    async def find(self, call: Call, until: float) -> Placement:
        """Return a placement, or a rejection if none is found by ``until``.

        A trial by permit waits for a target without another suspect, as its end decides
        whether the request is blocked. If there is none in time, it goes to any target.
        """
        wait = 0.0
        apart = call.has_permit
        if call.lease > 0:
            until = min(until, monotonic() + LEASED_WAIT)
        while True:
            request = _placement_request(call)
            request.apart = apart
            found = await self._find_local(call, request, wait)
            placement = self._placer.decide(request, found, monotonic())
            # A scheduler that forecasts waits decides how long a request may wait. It
            # doesn't know when other trials end.
            forecast = isinstance(found, NoLocalTarget) and found.retry_after > 0
            may_outlast = forecast and not apart
            wait = call.time_left if may_outlast else until - monotonic()
            if wait <= 0 or not _may_wait(call, placement):
                if not (apart and isinstance(placement, Rejected)):
                    return placement
                apart, wait = False, 0.0
                continue
            rests_for = found.rests_for if isinstance(found, NoLocalTarget) else 0.0
            if rests_for > wait:
                return placement
            if rests_for or not self._placer.may_serve_locally(request):
                await curio.sleep(min(wait, PLACEMENT_INTERVAL))

    async def find_free(self, call: Call) -> LocalPlacement | RemotePlacement | None:
        """Return a place that is free now; None if there is none.

        A target of the own region is preferred: it is reserved, while another region
        may refuse the request.
        """
        request = _placement_request(call)
        found = await self._find_local(call, request, 0.0)
        if isinstance(found, LocalPlacement):
            return found
        now = monotonic()
        match self._placer.decide(request, found, now):
            case RemotePlacement(lease=lease) as remote if lease > 0:
                return remote
            case RemotePlacement(region=region) as remote:
                service = request.selected_service
                is_free = self._placer.regions.has_free_slots(region, service, now)
                return remote if is_free else None
        return None

    def describe_capacity(self, call: Call) -> str:
        """Return the known free capacity for a request, for the log."""
        return self._placer.describe_capacity(_placement_request(call), monotonic())

    async def _find_local(
        self, call: Call, request: PlacementRequest, wait: float
    ) -> LocalResult:
        call.placement_requests += 1
        if not self._placer.may_serve_locally(request):
            return NoLocalTarget()
        local = self._placer.local_request(request)
        local.lease_regions = self._placer.regions.lease_regions(
            request, request.selected_service, monotonic()
        )
        found = await self._scheduler.find(local, wait)
        if isinstance(found, NoLocalTarget) and found.retry_after:
            call.forecast = found.retry_after
        call.share = found.share or call.share
        return found


def _may_wait(call: Call, placement: Placement) -> bool:
    """Return whether a request may wait here for free capacity."""
    if not isinstance(placement, Rejected):
        return False
    if call.forwarded and call.lease == 0:
        return False
    return not placement.final


def _placement_request(call: Call) -> PlacementRequest:
    return PlacementRequest(
        call.head.request_id,
        call.route,
        call.head.prompt,
        call.forwarded,
        call.time_left,
        call.tried,
        call.tried_hosts,
        call.rank(monotonic()),
        call.received_at,
        len(call.body),
        call.suspect,
        call.organisation,
        call.service,
        call.origin.software_version if call.origin is not None else "",
        call.refused_regions,
        frozenset(call.unreached_regions),
        call.lease,
    )
