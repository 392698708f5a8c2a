"""The hosts around the measured one, all in one process."""

from typing import Any

import curio
import uuid_utils

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers, PeerUnknown
from bronzepoint_emulator.slopes._agreement_plan import MEASURED, AgreementPlan
from bronzepoint_node.agreement import Agreement, AgreementError
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_schema.generated.agreement import (
    CatalogueMessage,
    Change,
    DeltaNotice,
    HeldNotice,
    PollReply,
    PollRequest,
    Put,
    VoteRequest,
)
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    Limits,
    ModelEntry,
    OwnerItem,
    Target,
)
from bronzepoint_schema.ids import (
    ChangeId,
    ClusterId,
    DataCenterName,
    EntryName,
    HostName,
    OperatorName,
    OwnerName,
    RegionName,
    Revision,
    TargetName,
)

_POLL = 0.8
"""Seconds between two polls of a child."""
_TIMEOUT = 30.0
"""Seconds to wait for a change to be accepted."""
_FIRST_PORT = 1024
"""Port of the first target; targets are never contacted."""


class Child:
    """A host that polls the measured one for changes, without storing them.

    Args:
        name: Name of the host.
        plan: The measurement.
    """

    def __init__(self, name: HostName, plan: AgreementPlan) -> None:
        self._peers = Peers(name, plan.hosts[name], plan.key(), Metrics())
        self._peers.set_address(MEASURED, plan.hosts[MEASURED])
        self._peers.register(Area.CATALOGUE, CatalogueMessage, self._handle)
        self._cluster = ClusterId("")
        self._revision = Revision(0)
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start polling."""
        await self._peers.start()
        self._task = await curio.spawn(self._poll, daemon=True)

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            await self._task.cancel()
        await self._peers.close()

    async def _handle(self, peer: HostName, message: CatalogueMessage) -> None:
        if isinstance(message, DeltaNotice) and message.deltas:
            self._revision = max(self._revision, message.deltas[-1].revision)
            if message.copy_wanted:
                notice = HeldNotice(self._cluster, self._revision)
                self._peers.post(peer, Area.CATALOGUE, notice)

    async def _poll(self) -> None:
        while True:
            request = PollRequest(self._cluster, self._revision)
            try:
                reply = await self._peers.call(MEASURED, Area.CATALOGUE, request, 1.0)
            except PeerError:
                reply = None
            if isinstance(reply, PollReply):
                self._cluster = reply.cluster
                self._revision = max(self._revision, reply.revision)
            await curio.sleep(_POLL)


class NonCandidatePeers(Peers):
    """Links of a voter that is never a candidate, so that the measured one leads."""

    async def call(
        self, peer: HostName, area: Area, message: Any, timeout: float
    ) -> Any:
        """Send a request, unless it asks for a vote."""
        if isinstance(message, VoteRequest):
            raise PeerUnknown(peer)
        return await super().call(peer, area, message, timeout)


class FeederVoter:
    """A voter other than the measured host.

    Args:
        name: Name of the host.
        plan: The measurement.
    """

    def __init__(self, name: HostName, plan: AgreementPlan) -> None:
        settings = plan.settings(name)
        metrics = Metrics()
        links = NonCandidatePeers if plan.leads else Peers
        self._peers = links(name, plan.hosts[name], plan.key(), metrics)
        for host, address in plan.hosts.items():
            self._peers.set_address(host, address, fixed=True)
        self._catalogue = Catalogue(settings, self._peers, metrics, list)
        self.agreement = Agreement(settings, self._peers, self._catalogue, metrics)

    async def start(self) -> None:
        """Start the voter."""
        await self._peers.start()
        await self._catalogue.start()
        await self.agreement.start()

    async def close(self) -> None:
        """Stop the voter."""
        await self.agreement.close()
        await self._catalogue.close()
        await self._peers.close()


class Feeder:
    """Runs all hosts of a plan except the measured one, and makes changes.

    Args:
        plan: The measurement.
    """

    def __init__(self, plan: AgreementPlan) -> None:
        self._plan = plan
        names = list(plan.hosts)
        self._voters = [FeederVoter(n, plan) for n in names if n.startswith("voter")]
        self._children = [Child(n, plan) for n in names if n.startswith("child")]
        self._versions: dict[str, int] = {}
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start the hosts, and the changes once the cluster is formed."""
        for host in [*self._voters, *self._children]:
            await host.start()
        self._task = await curio.spawn(self._change, daemon=True)

    async def close(self) -> None:
        """Stop everything."""
        if self._task is not None:
            await self._task.cancel()
        for host in [*self._children, *self._voters]:
            await host.close()

    async def _change(self) -> None:
        while not await self._initialise():
            await curio.sleep(0.2)
        for number in range(self._plan.items):
            await self._propose(_owner(number, 0))
        number = 0
        while True:
            if self._plan.rate == 0:
                await curio.sleep(_TIMEOUT)
                continue
            await self._propose(self._next_item(number))
            number += 1
            await curio.sleep(1 / self._plan.rate)

    async def _initialise(self) -> bool:
        try:
            await self._voters[0].agreement.initialise()
        except AgreementError:
            return False
        return True

    async def _propose(self, item: CatalogueItem) -> None:
        version = self._versions.get(item.name, 0) + 1
        change_id = ChangeId(str(uuid_utils.uuid7()))
        change = Change(change_id, OperatorName("slopes"), version, Put(item))
        await self._voters[0].agreement.propose(change, _TIMEOUT)
        self._versions[item.name] = version

    def _next_item(self, number: int) -> CatalogueItem:
        if self._plan.targets == 0:
            return _owner(number % max(1, self._plan.items), number)
        targets = [_target(index) for index in range(self._plan.targets)]
        targets[number % len(targets)].cost = float(number)
        return ModelEntry(EntryName("model"), OwnerName("owner"), targets=targets)


def _owner(number: int, rate: int) -> OwnerItem:
    return OwnerItem(OwnerName(f"owner-{number}"), limits=Limits(rate=float(rate)))


def _target(index: int) -> Target:
    return Target(
        TargetName(f"engine-{index}"),
        RegionName("r0"),
        DataCenterName("d"),
        f"192.0.2.{1 + index % 250}:{_FIRST_PORT + index}",
    )
