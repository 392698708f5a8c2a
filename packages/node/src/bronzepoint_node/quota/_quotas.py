"""Quota enforcement on an entry host, without a network round trip per request."""

import random
from collections.abc import Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.fleet import Organisation, Registry, nearest_core
from bronzepoint_schema.generated.quota import QuotaMessage
from bronzepoint_schema.ids import HostName, RegionName

from ._host_quotas import Charge, HostQuotas, OverQuota

REPORT_INTERVAL = 0.1
"""Seconds between two reports to a counter."""
REPLY_TIMEOUT = 0.3
"""Seconds to wait for a counter's reply; the report then goes to another counter."""
AVOID_TIME = 2.0
"""Seconds for which a counter that didn't reply gets no reports."""
_KEY = "counter of quotas"

_log = get_logger("quota")


class Quotas:
    """Reports use to a counter on a core host, and admits requests by its replies.

    Args:
        region: Region of this host.
        peers: Links to the other hosts.
        registry: Source of the live core hosts.
        hosts: Returns the number of live entry hosts.
        metrics: Counters.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        region: RegionName,
        peers: Peers,
        registry: Registry,
        hosts: Callable[[], int],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._region = region
        self._peers = peers
        self._registry = registry
        self._hosts = hosts
        self._metrics = metrics
        self._quotas = HostQuotas(region, rng, monotonic())
        self._avoided_until: dict[HostName, float] = {}
        self._task: curio.Task | None = None
        peers.register(Area.QUOTA, QuotaMessage, self._ignore)

    async def start(self) -> None:
        """Start reporting."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            await self._task.cancel()

    def take(
        self, organisation: Organisation | None, tokens: int | None
    ) -> Charge | OverQuota | None:
        """Charge a request to its organisation; None: no quota applies.

        Args:
            organisation: Organisation of the caller; None: unknown caller.
            tokens: Maximum tokens of the request; None: not specified.
        """
        charge = self._quotas.take(organisation, tokens, self._hosts(), monotonic())
        if charge is not None and self._quotas.without_counter:
            self._metrics.incr("quota.alone")
        return charge

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a request that certainly did not run."""
        self._metrics.incr("quota.given_back")
        self._quotas.refund(charge, monotonic())

    async def _ignore(self, peer: HostName, message: QuotaMessage) -> None:
        """Ignore a message that isn't a reply: entry hosts only send reports."""

    async def _run(self) -> None:
        while True:
            began = monotonic()
            await self._report(began)
            await curio.sleep(max(0.0, began + REPORT_INTERVAL - monotonic()))

    async def _report(self, now: float) -> None:
        counter = self._choose_counter(now)
        report = self._quotas.report(now) if counter is not None else None
        if report is None:
            return
        try:
            reply = await self._peers.call(counter, Area.QUOTA, report, REPLY_TIMEOUT)
        except PeerError as exc:
            self._avoided_until[counter] = now + AVOID_TIME
            self._metrics.incr("quota.unanswered")
            _log.info("quota counter lost", counter=counter, reason=str(exc))
            return
        self._quotas.apply_reply(reply, now)
        self._metrics.gauge("quota.kept", len(self._quotas))

    def _choose_counter(self, now: float) -> HostName | None:
        """Return the counter to report to; None: no core host is live.

        All hosts of a region report to the same counter, unless they can't reach it.
        """
        core = self._registry.core()
        names = nearest_core(core, self._region, self._avoided_until, now)
        names = names or [host.name for host in core]
        return rendezvous_order(_KEY, names)[0] if names else None
