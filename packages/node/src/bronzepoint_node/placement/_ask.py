"""A request that is waiting to be placed."""

import random

from msgspec import Struct

from bronzepoint_node.fleet import Organisation, ServedRoute
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.ids import RegionName

from ._prompt import Prompt


class PlacementRequest(Struct):
    """A request that is waiting to be placed.

    Attributes:
        forwarded: Another region forwarded it; it is served in this region or refused.
        time_left: Seconds until its deadline.
        tried: Targets that it was already sent to.
        tried_hosts: Hosts of other regions that it was already forwarded to.
        rank: Current priority; 0 is the most urgent.
        arrived: When it was received, by the monotonic clock.
        body_bytes: Size of its body.
        suspect: It was in progress at several targets when they crashed.
        organisation: Organisation of the caller; None if it is unknown.
        service: Service that serves it; empty: drawn by the route's weights.
        software_version: The only software version of targets that may serve it;
            empty: any.
        refused_regions: When each region that has refused it expects to have free
            capacity, in monotonic seconds.
        unreached_regions: Regions that could not be connected to.
        lease: Lease under which another region has forwarded it; 0: none; -2: that
            region may not serve it.
        has_own_queue: Whether it may wait in this region.
        apart: It is sent to a target where no other suspect is on trial, or waits.
    """

    request_id: str
    route: ServedRoute
    prompt: Prompt | None
    forwarded: bool
    time_left: float
    tried: set[str]
    tried_hosts: set[str]
    rank: int
    arrived: float = 0.0
    body_bytes: int = 0
    suspect: bool = False
    organisation: Organisation | None = None
    service: str = ""
    software_version: str = ""
    refused_regions: dict[RegionName, float] = {}
    unreached_regions: frozenset[RegionName] = frozenset()
    lease: int = 0
    has_own_queue: bool = True
    apart: bool = False

    @property
    def selected_service(self) -> str:
        """The service that serves the request."""
        return self.service or select_service(self.route, self.request_id)

    @property
    def homes(self) -> tuple[tuple[RegionName, ...], ...]:
        """Return the home regions of the route and of the organisation, if set."""
        organisation = self.organisation
        found = (
            self.route.home_regions,
            organisation.home_regions if organisation else (),
        )
        return tuple(homes for homes in found if homes)

    def allows(self, target: TargetInfo) -> bool:
        """Return whether a target has the software version that the request needs."""
        return self.software_version in ("", target.software_version)

    def may_go_to(self, region: RegionName) -> bool:
        """Return whether the home regions of route and organisation allow a region."""
        return all(region in homes for homes in self.homes)

    def may_be_forwarded_to(self, region: RegionName) -> bool:
        """Return whether a region may get the request, as far as is known here.

        A region that has refused it would refuse it again, and a further connection
        timeout takes longer than waiting in the own queue.
        """
        if region in self.refused_regions:
            return False
        if region in self.unreached_regions and self.has_own_queue:
            return False
        return self.may_go_to(region)


def select_service(route: ServedRoute, request_id: str) -> str:
    """Return the service that serves a request, drawn by the route's weights.

    The draw is seeded with the request's id, so that a host of another region selects
    the same service for a forwarded request.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = random.Random(request_id).random() * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
