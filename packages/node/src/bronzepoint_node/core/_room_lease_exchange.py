"""Exchange of leases with the schedulers of other regions."""

import re
from collections.abc import Callable

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.fleet import COLLECTOR_ORDER, Registry
from bronzepoint_node.placement import RegionLeases, ServiceRoom
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.generated.room_leases import (
    RoomAsk,
    RoomLease,
    RoomMessage,
    RoomReturn,
)
from bronzepoint_schema.ids import HostName, RegionName

from ._visible_hosts import HostOrderCache

SCHEDULERS_ASKED = 2
"""Number of core hosts of another region that get each ask: its scheduler and the
successor. Only a host that other hosts report to answers."""

_NOT_IN_NAMES = re.compile(r"[^\w.]")
"""Characters that names of metrics can't contain."""

_log = get_logger("core")


class RoomLeaseExchange:
    """Sends and answers asks for free capacity of other regions.

    Each message may be lost or delayed: an ask is repeated at an interval, an answer to
    an outdated ask is ignored, and a lease ends by its time on both sides.

    Args:
        region: This region.
        peers: Links to the other hosts.
        registry: Live core hosts, and the loads of the regions.
        leases: The leases of this region.
        room: Returns this region's room by a load report; None: not for leases.
        silent_regions: Returns the regions whose core hosts this host does not hear.
        metrics: Gauges of the leased capacity.
    """

    def __init__(
        self,
        region: RegionName,
        peers: Peers,
        registry: Registry,
        leases: RegionLeases,
        room: Callable[[RegionLoad], ServiceRoom | None],
        silent_regions: Callable[[], list[RegionName]],
        metrics: Metrics,
    ) -> None:
        self._region = region
        self._peers = peers
        self._registry = registry
        self._leases = leases
        self._room = room
        self._silent_regions = silent_regions
        self._metrics = metrics
        self._orders = HostOrderCache()
        self._rooms: dict[str, ServiceRoom] = {}
        self._shown: dict[tuple[str, RegionName, str], int] = {}
        peers.register(Area.ROOM_LEASES, RoomMessage, self._handle)

    def update(self, loads: list[RegionLoad]) -> list[RegionLoad]:
        """Send the asks that are due, and return the loads to report to other regions.

        Args:
            loads: Loads of this region's targets; empty if this host is no scheduler.
        """
        now = monotonic()
        rooms = {load.service: self._room(load) for load in loads}
        self._rooms = {service: room for service, room in rooms.items() if room}
        silent = self._silent_regions()
        reported = self._registry.loads()
        for service, room in self._rooms.items():
            due = self._leases.plan(service, room, reported, silent, now)
            for region, message in due:
                self._post(region, message)
        for service in self._rooms.keys() | {key[2] for key in self._shown}:
            self._show(service, now)
        return [self._reported(load, now) for load in loads]

    async def _handle(self, peer: HostName, message: RoomMessage) -> None:
        now = monotonic()
        match message:
            case RoomAsk(service=service):
                room = self._rooms.get(service)
                if room is None:
                    return
                answer = self._leases.answer(message, room, now)
                if answer is not None:
                    self._peers.post(peer, Area.ROOM_LEASES, answer)
            case RoomLease():
                self._leases.borrower.apply(message, now)
            case RoomReturn(number=number):
                self._leases.lender.take_back(number, now)

    def _post(self, region: RegionName, message: RoomAsk | RoomReturn) -> None:
        hosts = [host.name for host in self._registry.core() if host.region == region]
        order = self._orders.order(COLLECTOR_ORDER, region, hosts)
        for name in order[:SCHEDULERS_ASKED]:
            self._peers.post(name, Area.ROOM_LEASES, message)

    def _reported(self, load: RegionLoad, now: float) -> RegionLoad:
        room = self._rooms.get(load.service)
        return load if room is None else self._leases.reported_load(load, room, now)

    def _show(self, service: str, now: float) -> None:
        """Update the gauges, and log each lease that begins or ends."""
        leased = {
            "in": self._leases.borrower.held(service, now),
            "out": self._leases.lender.lent(service, now),
        }
        shown = {
            (direction, region, service): permille
            for direction, regions in leased.items()
            for region, permille in regions.items()
        }
        former = {key: at for key, at in self._shown.items() if key[2] == service}
        for key in shown.keys() | former.keys():
            direction, region, _ = key
            permille, before = shown.get(key, 0), former.get(key, 0)
            names = f"{region}.{service}"
            name = f"lease.{direction}_permille.{_NOT_IN_NAMES.sub('_', names)}"
            self._metrics.gauge(name, permille)
            if bool(permille) != bool(before):
                _log.info(
                    "room leased",
                    direction=direction,
                    region=region,
                    service=service,
                    permille=permille,
                )
        self._shown = {k: v for k, v in self._shown.items() if k[2] != service}
        self._shown |= shown
