"""Counter of quota use, which runs on core hosts."""

import random
from collections.abc import Callable, Iterable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.fleet import Organisation, Registry, ServedCatalogue
from bronzepoint_schema.generated.admin import OrganisationState
from bronzepoint_schema.generated.quota import (
    QuotaMessage,
    QuotaReply,
    QuotaReport,
    QuotaStanding,
    QuotaSums,
)
from bronzepoint_schema.ids import HostName, RegionName

from ._ledger import Ledger
from ._tolerance import Tolerance

SUMS_INTERVAL = 0.1
"""Seconds between two messages to the other counters while sums change."""
HEARTBEAT_INTERVAL = 0.25
"""Maximum seconds between two messages to the other counters if no sum has changed: a
region without messages counts as partitioned."""
FULL_SUMS_INTERVAL = 1.0
"""Seconds after which all sums are sent again, as messages may have been lost."""

_log = get_logger("quota")


class QuotaCounter:
    """Sums the use that entry hosts report, and exchanges sums with other counters.

    Args:
        name: Name of this host.
        peers: Links to the other hosts.
        registry: Source of the live core hosts.
        served: Returns the current catalogue; None: there is none yet.
        tolerance: Tolerated use beyond quotas.
        regions: All configured regions.
    """

    def __init__(
        self,
        name: HostName,
        peers: Peers,
        registry: Registry,
        served: Callable[[], ServedCatalogue | None],
        tolerance: Tolerance,
        regions: Iterable[RegionName],
    ) -> None:
        self._name = name
        self._peers = peers
        self._registry = registry
        self._served = served
        self._ledger = Ledger(tolerance, regions, monotonic())
        self._started = random.getrandbits(40)
        self._version = -1
        self._sent_at = 0.0
        self._sent_all_at = 0.0
        self._task: curio.Task | None = None
        peers.register(Area.QUOTA, QuotaMessage, self._handle)

    async def start(self) -> None:
        """Start sending sums to the other counters."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop sending sums."""
        if self._task is not None:
            await self._task.cancel()

    def states(self) -> list[OrganisationState]:
        """Return the quota state of all organisations, for operators."""
        catalogue = self._served()
        if catalogue is None or not catalogue.organisations:
            return []
        self._update()
        now = monotonic()
        names = set(catalogue.organisations)
        standings = {s.organisation: s for s in self._ledger.standings(names, now)}
        return [
            _state(organisation, standings.get(name), self._ledger.refused(name))
            for name, organisation in sorted(catalogue.organisations.items())
        ]

    async def _handle(self, peer: HostName, message: QuotaMessage) -> QuotaReply | None:
        now = monotonic()
        self._update()
        match message:
            case QuotaReport():
                return self._ledger.answer(peer, message, now)
            case QuotaSums():
                self._ledger.merge_sums(peer, message, now)
        return None

    def _update(self) -> None:
        """Apply the quotas of a new catalogue."""
        catalogue = self._served()
        if catalogue is None or catalogue.version == self._version:
            return
        self._version = catalogue.version
        quotas = {
            name: organisation.quota
            for name, organisation in (catalogue.organisations or {}).items()
            if organisation.quota is not None
        }
        self._ledger.set_quotas(quotas, monotonic())

    async def _run(self) -> None:
        while True:
            await curio.sleep(SUMS_INTERVAL)
            self._send_sums(monotonic())

    def _send_sums(self, now: float) -> None:
        self._update()
        previous = self._ledger.shares
        self._ledger.update_reachability(now)
        if self._ledger.shares.unreachable != previous.unreachable:
            unreachable = sorted(self._ledger.shares.unreachable)
            _log.info("regions that count", silent=unreachable)
        whole = (
            self._ledger.full_sums_due or now - self._sent_all_at >= FULL_SUMS_INTERVAL
        )
        sums = self._ledger.sums(self._started, whole, now)
        is_due = now - self._sent_at >= HEARTBEAT_INTERVAL
        if not sums.uses and not is_due:
            return
        self._sent_at = now
        if whole:
            self._sent_all_at = now
        for host in self._registry.core():
            if host.name != self._name:
                self._peers.post(host.name, Area.QUOTA, sums)


def _state(
    organisation: Organisation, standing: QuotaStanding | None, refused: int
) -> OrganisationState:
    quota = organisation.quota
    return OrganisationState(
        organisation.name,
        quota.rate if quota is not None else 0.0,
        quota.burst if quota is not None else 0.0,
        "tokens" if quota is not None and quota.in_tokens else "requests",
        standing.level if standing is not None else 0,
        standing.demand if standing is not None else 0,
        standing.used if standing is not None else 0,
        refused,
    )
