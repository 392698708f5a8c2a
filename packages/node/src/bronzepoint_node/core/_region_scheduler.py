"""The scheduler of a region, on a core host."""

import random
from collections.abc import Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_node.fleet import Registry, ServedCatalogue
from bronzepoint_node.placement import (
    BalanceMonitor,
    ColdStartLimiter,
    EnginePoller,
    LeasedAsks,
    LoadExchange,
    Placer,
    RaisedWeights,
    ReadReport,
    RegionLeases,
    Reservations,
    Scheduler,
    SchedulerClient,
    ServiceRoom,
    SpeedReport,
    TargetTable,
    organisation_weights,
)
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

from ._room_lease_exchange import RoomLeaseExchange
from ._target_reader import Reading

UPDATE_INTERVAL = 0.1
"""Seconds between two updates from the target list and the catalogue, and between two
load reports to other regions."""


class RegionScheduler:
    """Chooses targets for the entry hosts of a region that report to this host.

    The scheduler runs on a core host because entry hosts may have narrow links that
    callers' prompts fill for a while, which would delay its answers. Core hosts have no
    callers.

    Args:
        name: This host.
        region: Its region.
        zones: Region of each data center.
        peers: Links to the other hosts.
        registry: Live hosts and the loads of other regions.
        report_loads: Sends this region's loads to the other regions.
        listed: Returns the newest list of targets.
        served: Returns the catalogue in effect and the closed data centers.
        read: Requests the load report of an engine.
        metrics: Counters.
        silent_regions: Returns the regions whose core hosts this host does not hear.
        spread_by_age: Whether choices depend on the age of the load information.

    Attributes:
        raised_weights: Weights of organisations that operators have changed.
    """

    def __init__(
        self,
        name: HostName,
        region: RegionName,
        zones: dict[DataCenterName, RegionName],
        peers: Peers,
        registry: Registry,
        report_loads: Callable[[list[RegionLoad]], None],
        listed: Callable[[], Reading | None],
        served: Callable[[], tuple[ServedCatalogue | None, frozenset[DataCenterName]]],
        read: ReadReport,
        metrics: Metrics,
        silent_regions: Callable[[], list[RegionName]] = list,
        spread_by_age: bool = True,
    ) -> None:
        self._region = region
        self._zones = zones
        self._report_loads = report_loads
        self._listed = listed
        self._served = served
        self._table = TargetTable()
        self._weights: dict[str, float] = {}
        self._weights_version = -1
        self.raised_weights = RaisedWeights(monotonic)
        cold_limiter = ColdStartLimiter(name)
        self._placer = Placer(
            region,
            self._table,
            registry,
            cold_limiter,
            random.Random(name),
            lambda: [name],
            spread_by_age=spread_by_age,
        )
        # A core host has no callers, so it has no requests of its own to report.
        reservations = Reservations()
        self._exchange = LoadExchange(
            name, peers, self._table, self._placer.estimates, reservations, lambda: []
        )
        self._engine_poller = EnginePoller(self._table, read, self._poller_count)
        self._balance = BalanceMonitor(self._table, metrics)
        self._scheduler = Scheduler(
            name,
            self._placer.local_selector,
            cold_limiter,
            reservations,
            self._exchange.staleness,
            self._weight,
            metrics,
        )
        leases = RegionLeases(region)
        self._lease_exchange = RoomLeaseExchange(
            region, peers, registry, leases, self._room, silent_regions, metrics
        )
        self._answers = SchedulerClient(
            peers,
            self._table,
            self._exchange,
            self._scheduler,
            registry,
            metrics,
            self._update,
            silent_regions,
            self._placer.regions,
            LeasedAsks(leases, self._request_cost, metrics),
        )
        self._speed_report = SpeedReport(self._table, self._placer.estimates, metrics)
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start answering entry hosts."""
        self._task = await spawn_background(self._run)
        await self._exchange.start()
        await self._engine_poller.start()

    async def close(self) -> None:
        """Stop answering entry hosts."""
        if self._task is not None:
            await self._task.cancel()
        await self._answers.close()
        await self._engine_poller.close()
        await self._exchange.close()

    def _weight(self, organisation: str) -> float:
        """Return the weight of an organisation in the fair order."""
        factor = self.raised_weights.factor(organisation)
        return factor * self._weights.get(organisation, 1.0)

    def _room(self, load: RegionLoad) -> ServiceRoom | None:
        """Return the room for leases of a service; None if it has no engines."""
        known = self._table.service(load.service)
        if known is None or known.engine is None:
            return None
        slots = known.engine.slots
        return ServiceRoom(
            load.slots / slots,
            load.in_progress / slots,
            self._scheduler.waiting(load.service),
            self._request_cost(load.service),
            slots,
        )

    def _request_cost(self, service: str) -> float:
        """Return the target seconds that the mean request of a service takes."""
        known = self._table.service(service)
        slots = known.engine.slots if known is not None and known.engine else 1
        return self._placer.estimates.times(service).hold / slots

    def _poller_count(self) -> int:
        return 1 if self._exchange.has_members(monotonic()) else 0

    async def _run(self) -> None:
        while True:
            now = monotonic()
            self._update()
            has_members = self._exchange.has_members(now)
            loads = self._placer.region_loads(now) if has_members else []
            loads = self._lease_exchange.update(loads)
            if loads:
                self._report_loads(loads)
            if has_members:
                self._speed_report.report(now)
                for service in self._table.services():
                    self._balance.observe(
                        service, self._scheduler.waiting(service), now
                    )
            await curio.sleep(UPDATE_INTERVAL)

    def _update(self) -> None:
        now = monotonic()
        listed = self._listed()
        catalogue, closed = self._served()
        if listed is None or catalogue is None:
            return
        if catalogue.version != self._weights_version:
            self._weights = organisation_weights(catalogue.organisations)
            self._weights_version = catalogue.version
        local = [
            t for t in listed.targets if self._zones.get(t.data_center) == self._region
        ]
        self._table.update(local, listed.age, catalogue.services, closed, now)
