"""The entry hosts of one region in one process, and the messages between them."""

import random
from collections import Counter

import curio
import msgspec

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.core import RegionScheduler
from bronzepoint_node.core._target_reader import Reading
from bronzepoint_node.fleet import (
    CallerLimits,
    EngineProperties,
    Registry,
    ServedCatalogue,
    ServedService,
)
from bronzepoint_node.placement import (
    ColdStartLimiter,
    LoadExchange,
    LocalPlacement,
    Placer,
    Prompt,
    PromptPart,
    ReportUnavailable,
    Reservations,
    Scheduler,
    SchedulerClient,
    TargetTable,
)
from bronzepoint_node.placement._local_request import LocalPlacementRequest
from bronzepoint_schema.generated.fleet import (
    EntryHost,
    EntryState,
    TargetInfo,
)

SLOTS = 32
"""Requests that each target serves at the same time."""
DELIVERY_INTERVAL = 0.001
"""Seconds between two deliveries of posted messages."""


def prompt(tokens=100, name="own"):
    return Prompt((PromptPart(name, tokens),), tokens, 50)


class Region:
    """Some hosts and some engines.

    Attributes:
        partitioned: Hosts that send and receive no messages.
        sent_bytes: Bytes that each host has posted.
    """

    def __init__(
        self, hosts, targets, memory_tokens=10**9, core=(), data_centers=("z",)
    ):
        self.partitioned = set()
        self.sent_bytes = Counter()
        self.names = [f"10.1.0.{number}" for number in range(hosts)]
        self.engine = ServedService(
            "s", "/h", 100, engine=EngineProperties(SLOTS, memory_tokens)
        )
        self.targets = [f"t{number}" for number in range(targets)]
        self.data_centers = data_centers
        self._posted = []
        self.core_names = list(core)
        self.core = {name: CoreScheduler(self, name) for name in core}
        self.hosts = {name: Host(self, name) for name in self.names}

    async def __aenter__(self):
        self._pump = await curio.spawn(self._deliver, daemon=True)
        for scheduler in self.core.values():
            await scheduler.start()
        for host in self.hosts.values():
            await host.exchange.start()
        await curio.sleep(0.1)
        return self

    async def __aexit__(self, *failure):
        await self._pump.cancel()
        for scheduler in self.core.values():
            await scheduler.close()
        for host in self.hosts.values():
            await host.exchange.close()
            await host.client.close()

    def post(self, sender, receiver, area, message):
        self.sent_bytes[sender] += len(msgspec.msgpack.encode(message))
        if not {sender, receiver} & self.partitioned:
            self._posted.append((sender, receiver, area, message))

    async def _deliver(self):
        while True:
            posted, self._posted = self._posted, []
            for sender, receiver, area, message in posted:
                host = self.hosts.get(receiver) or self.core[receiver]
                await host.handlers[area](sender, message)
            await curio.sleep(DELIVERY_INTERVAL)

    def infos(self):
        return [
            TargetInfo(t, "s", "10.9.0.1:1", self.data_center(t), SLOTS, False, 0)
            for t in self.targets
        ]

    def data_center(self, target):
        """Return the data center of a target; they take turns."""
        number = self.targets.index(target)
        return self.data_centers[number % len(self.data_centers)]

    def catalogue(self):
        return ServedCatalogue(1, (), {"s": self.engine}, CallerLimits())

    @property
    def scheduler(self):
        """The host that selects targets for all."""
        (found,) = [h for h in self.hosts.values() if h.exchange.scheduler is None]
        return found

    @property
    def members(self):
        """The hosts that query the scheduler."""
        scheduler = self.scheduler
        return [host for host in self.hosts.values() if host is not scheduler]

    def in_flight(self):
        """Return the actual number of requests in progress at each target."""
        counts = Counter()
        for host in self.hosts.values():
            for target in host.table.all():
                counts[target.info.incarnation] += len(target.load.runs)
        return counts


class CoreScheduler:
    """The scheduler on a core host, which also serves as the `peers` of its parts."""

    def __init__(self, region, name):
        self.region = region
        self.name = name
        self.handlers = {}
        self.registry = Registry()
        self.scheduler = RegionScheduler(
            name,
            "r",
            dict.fromkeys(region.data_centers, "r"),
            self,
            self.registry,
            self.registry.merge_loads,
            lambda: Reading(region.infos(), 0.0),
            lambda: (region.catalogue(), frozenset()),
            _no_report,
            Metrics(),
        )
        self.table = self.scheduler._table

    async def start(self):
        await self.scheduler.start()

    async def close(self):
        await self.scheduler.close()

    def register(self, area, union, handler):
        self.handlers[area] = handler

    def post(self, peer, area, message):
        self.region.post(self.name, peer, area, message)


async def _no_report(address, incarnation):
    raise ReportUnavailable("no engine answers here")


class Host:
    """One entry host, which also serves as the `peers` of its parts."""

    def __init__(self, region, name):
        self.region = region
        self.name = name
        self.handlers = {}
        self.metrics = Metrics()
        self.table = TargetTable()
        self.close_data_centers()
        registry = self.registry = Registry()
        registry.merge_entries(
            EntryHost(n, "r", "z", n, n, EntryState.ready, 0) for n in region.names
        )
        cold = ColdStartLimiter(name)
        self.placer = Placer(
            "r",
            self.table,
            registry,
            cold,
            random.Random(name),
            lambda: self.exchange.selecting_hosts(region.names),
        )
        others = [other for other in region.names if other != name]
        self.reservations = Reservations()
        self.exchange = LoadExchange(
            name,
            self,
            self.table,
            self.placer.estimates,
            self.reservations,
            lambda: others,
            lambda: region.core_names,
        )
        scheduler = Scheduler(
            name,
            self.placer.local_selector,
            cold,
            self.reservations,
            self.exchange.staleness,
        )
        self.client = SchedulerClient(
            self,
            self.table,
            self.exchange,
            scheduler,
            registry,
            self.metrics,
            regions=self.placer.regions,
        )

    def register(self, area, union, handler):
        self.handlers[area] = handler

    def post(self, peer, area, message):
        self.region.post(self.name, peer, area, message)

    def close_data_centers(self, *names):
        """Let this host know which data centers are closed."""
        region = self.region
        services = region.catalogue().services
        closed = frozenset(names)
        self.table.update(region.infos(), 0.0, services, closed, monotonic())

    def make_request(self, rank=0, tokens=100, arrived=None, avoided=(), **fields):
        now = monotonic()
        at = now if arrived is None else arrived
        return LocalPlacementRequest(
            "id", "s", prompt(tokens), 5.0, rank, at, set(avoided), **fields
        )

    async def send(self, run_id, wait=0.0, **options):
        """Find a target and count a request there, as a sender does."""
        request = self.make_request(**options)
        found = await self.client.find(request, wait)
        if isinstance(found, LocalPlacement):
            found.target.begin(run_id, request.prompt, request.rank, monotonic())
        return found
