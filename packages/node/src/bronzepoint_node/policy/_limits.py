"""Limits of owners, entries and classes, shared by all hosts of a region."""

import time
from collections.abc import Callable
from typing import Protocol

import curio
from msgspec import Struct, field

from bronzepoint_common.background import spawn_background
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_node.policy._limit_allocation import LimitAllocation
from bronzepoint_node.policy._local_limit import LimitKey, LocalLimit
from bronzepoint_node.policy._outputs import Refused
from bronzepoint_node.policy._rendezvous import ranked
from bronzepoint_node.policy._token_bucket import TokenBucket
from bronzepoint_schema.generated import catalogue
from bronzepoint_schema.generated.catalogue import (
    ClassItem,
    EntryClass,
    ModelEntry,
    OwnerItem,
    ServiceEntry,
)
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.generated.limits import (
    Demands,
    Grants,
    LimitDemand,
    LimitGrant,
    LimitMessage,
    LimitScope,
    Quota,
)
from bronzepoint_schema.ids import EntryName, HostName, OwnerName

_GRANT_LIFETIME_PERIODS = 2.5
"""Report periods for which a grant is valid."""
_EARLY_REPORT_GAP_PERIODS = 0.25
"""Report periods that must pass between two reports to one holder."""
_EARLY_REPORT_TIMEOUT_SECONDS = 0.2
"""Longest wait of a request for a new grant where the old one would refuse it."""
_MIN_REPORTED_DEMAND = 0.1
"""Fraction of a host's equal share below which its demand isn't reported. All hosts
together admit at most this share of the limit in addition to the grants."""
_IDLE_SECONDS = 10.0
"""Time without requests after which the state of a limit is dropped."""
_DEFAULT_MAX_TOKENS = 256
"""Tokens charged for a request that doesn't set its own maximum."""
_IN_PROGRESS_RETRY_SECONDS = 1.0
"""Retry-after of a request refused because too many are in progress."""


class RegionHosts(Struct):
    """Hosts of this region, this one included.

    Attributes:
        live: hosts that can be reached.
        known: live hosts, and suspect or dead ones that are still remembered.
        regions: number of known regions.
    """

    live: list[HostName]
    known: list[HostName]
    regions: int = 1


class LimitCatalogue(Protocol):
    """The part of the catalogue that holds the values of limits."""

    def entry(self, name: EntryName) -> ModelEntry | ServiceEntry | None:
        """Return an entry; None: it does not exist."""

    def owner(self, name: OwnerName) -> OwnerItem | None:
        """Return an organisation; None: it does not exist."""

    def class_item(self, cls: EntryClass) -> ClassItem | None:
        """Return a class; None: it does not exist."""


class LimitTicket(Struct):
    """The charge of one request against its limits.

    Attributes:
        keys: limits that were charged.
        tokens: estimated tokens that were charged.
        notes: lines for the decision record.
    """

    keys: list[LimitKey]
    tokens: float
    notes: list[str] = field(default_factory=list)


class Limits:
    """Enforces the limits of a region on one host.

    Each limit has a holder among the region's hosts, chosen by rendezvous hashing. A
    host reports its demand to the holders once per period, with all limits of one
    holder in one message, and gets a grant for each. Between reports it decides
    locally. A host uses its equal share, the limit divided by the known hosts, while
    its demand is too small to report, and when the holder is unreachable and the last
    grant has expired.

    Over a time T a region admits at most 1.1 times the limit times (T + one second of
    burst), plus one request per host. The extra tenth is used by hosts whose demand is
    too small to report. When demand moves to other hosts, when holders change, or when
    hosts can't reach a holder that considers them live, at most one more limit's worth
    is admitted until the old grants have expired.

    Args:
        host: This host.
        peers: Messages to the region's other hosts.
        values: Source of the values of limits.
        hosts: Returns the region's current hosts.
        period: Seconds between two reports.
        holders: Number of hosts that act as holders of limits.
        metrics: Counts refusals, reports and expired grants.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        host: HostName,
        peers: Peers,
        values: LimitCatalogue,
        hosts: Callable[[], RegionHosts],
        period: float,
        holders: int,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._peers = peers
        self._values = values
        self._hosts = hosts
        self._period = period
        self._holders = holders
        self._metrics = metrics
        self._clock = clock
        self._local: dict[LimitKey, LocalLimit] = {}
        self._held: dict[LimitKey, LimitAllocation] = {}
        self._last_report_at: dict[HostName, float] = {}
        self._live: set[HostName] = set()
        self._live_changed_at = clock()
        self._task: curio.Task | None = None
        peers.register(Area.LIMITS, LimitMessage, self._on_message)

    async def start(self) -> None:
        """Start reporting demand."""
        self._task = await spawn_background(self._report_periodically)

    async def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def acquire(self, request: RequestView) -> LimitTicket | Refused:
        """Charge a request against its limits, or return the refusal."""
        now = self._clock()
        limits_by_key = self._limits_of_request(request)
        if not limits_by_key:
            return LimitTicket([], 0.0)
        tokens = float(request.max_tokens or _DEFAULT_MAX_TOKENS)
        for key in limits_by_key:
            self._local_limit(key).record_demand(tokens, now)
        refused = self._take(limits_by_key, tokens)
        if refused is not None and self._may_report_early(refused[0]):
            # The grant may predate this demand: other hosts may have left the rest
            # of the limit unused.
            await self._request_grants(
                self._holder(refused[0]), [refused[0]], _EARLY_REPORT_TIMEOUT_SECONDS
            )
            refused = self._take(limits_by_key, tokens)
        if refused is None:
            names = ", ".join(key.text() for key in limits_by_key)
            return LimitTicket(list(limits_by_key), tokens, [f"limits: within {names}"])
        return self._refusal(*refused, tokens)

    def release(self, ticket: LimitTicket, tokens: float) -> None:
        """Release what a request was charged, and correct its token estimate."""
        now = self._clock()
        for key in ticket.keys:
            local = self._local.get(key)
            if local is not None:
                local.end_request(ticket.tokens - tokens, now)

    async def report(self) -> None:
        """Report all demand once, and apply the grants."""
        self._drop_idle()
        self._hosts_are_stable(self._hosts().live, 0.0, self._clock())
        by_holder: dict[HostName, list[LimitKey]] = {}
        for key in self._reportable_limits():
            by_holder.setdefault(self._holder(key), []).append(key)
        async with curio.TaskGroup() as tasks:
            for holder, keys in by_holder.items():
                await tasks.spawn(self._request_grants, holder, keys, self._period)

    def size(self) -> int:
        """Return the number of limits that this host has state for."""
        return len(self._local)

    def _limits_of_request(
        self, request: RequestView
    ) -> dict[LimitKey, catalogue.Limits]:
        keys = [
            LimitKey(LimitScope.owner, request.owner),
            LimitKey(LimitScope.entry, request.entry),
            LimitKey(LimitScope.class_, request.entry_class),
        ]
        limits_by_key = {key: self._limits_for(key) for key in keys}
        return {
            key: limits for key, limits in limits_by_key.items() if limits is not None
        }

    def _limits_for(self, key: LimitKey) -> catalogue.Limits | None:
        match key.scope:
            case LimitScope.owner:
                item = self._values.owner(OwnerName(key.name))
            case LimitScope.entry:
                item = self._values.entry(EntryName(key.name))
            case LimitScope.class_:
                item = self._values.class_item(EntryClass(key.name))
        if item is None:
            return None
        limits = item.limits
        bounded = limits.rate > 0 or limits.in_progress > 0 or limits.tokens > 0
        return limits if bounded else None

    def _local_limit(self, key: LimitKey) -> LocalLimit:
        local = self._local.get(key)
        if local is None:
            now = self._clock()
            bucket = TokenBucket(0.0, 0.0, now)
            local = LocalLimit(key, Quota(), bucket, bucket, decayed=now)
            self._local[key] = local
        return local

    def _take(
        self, limits_by_key: dict[LimitKey, catalogue.Limits], tokens: float
    ) -> tuple[LimitKey, RefusalKind] | None:
        now = self._clock()
        taken: list[LocalLimit] = []
        for key, limits in limits_by_key.items():
            local = self._local[key]
            if now >= local.until:
                self._apply_equal_share(local, limits, now)
            kind = local.try_take(limits, tokens, now)
            if kind is not None:
                for earlier in taken:
                    earlier.undo_take(tokens, now)
                return key, kind
            taken.append(local)
        return None

    def _refusal(self, key: LimitKey, kind: RefusalKind, tokens: float) -> Refused:
        now = self._clock()
        local = self._local[key]
        match kind:
            case RefusalKind.rate_limited:
                retry_after = local.requests.seconds_until(1, now)
            case RefusalKind.tokens_limited:
                retry_after = local.tokens.seconds_until(tokens, now)
            case _:
                retry_after = _IN_PROGRESS_RETRY_SECONDS
        retry_after = max(0.1, retry_after)
        self._metrics.incr(f"limits.{kind}.{key.scope}")
        message = f"The limit of {key.scope} {key.name!r} is used up in this region."
        remedy = (
            f"Send it again after {retry_after:.1f} s, or ask an operator to raise "
            f"the limits of {key.scope} {key.name!r}."
        )
        note = f"limits: {key.text()} refuses with {kind}"
        return Refused(kind, message, remedy, retry_after, reason=note, notes=[note])

    def _apply_equal_share(
        self, local: LocalLimit, limits: catalogue.Limits, now: float
    ) -> None:
        """Use the equal share until the holder sends another grant."""
        known = ranked(local.key.text(), self._hosts().known)
        count = max(1, len(known))
        extra = limits.in_progress % count
        rank = known.index(self._host) if self._host in known else count
        quota = Quota(
            rate=limits.rate / count,
            slots=limits.in_progress // count + (1 if rank < extra else 0),
            tokens=limits.tokens / count,
        )
        local.apply_quota(quota, now + self._period, False, now)
        self._metrics.incr("limits.equal_part")

    def _holder(self, key: LimitKey) -> HostName:
        live = ranked("limits", self._hosts().live)[: self._holders]
        return ranked(key.text(), live or [self._host])[0]

    def _may_report_early(self, key: LimitKey) -> bool:
        last = self._last_report_at.get(self._holder(key), 0.0)
        return self._clock() - last >= _EARLY_REPORT_GAP_PERIODS * self._period

    async def _report_periodically(self) -> None:
        while True:
            await curio.sleep(self._period)
            await self.report()

    def _reportable_limits(self) -> list[LimitKey]:
        """Return the limits with enough demand on this host to be reported.

        Most organisations send each host only an occasional request. Reporting all
        of them would make the reports grow with the number of organisations instead
        of the load.
        """
        now = self._clock()
        known = max(1, len(self._hosts().known))
        reportable = []
        for key, local in self._local.items():
            limits = self._limits_for(key)
            if limits is not None and local.has_demand_above(
                limits, _MIN_REPORTED_DEMAND / known, now
            ):
                reportable.append(key)
        return reportable

    def _drop_idle(self) -> None:
        now = self._clock()
        idle = [
            key
            for key, local in self._local.items()
            if local.in_use <= 0 and now - local.used > _IDLE_SECONDS
        ]
        for key in idle:
            del self._local[key]
        expired = [
            key
            for key, held in self._held.items()
            if all(
                item.until < now - _IDLE_SECONDS for item in held.allocations.values()
            )
        ]
        for key in expired:
            del self._held[key]
        self._metrics.gauge("limits.kept", len(self._local))

    async def _request_grants(
        self, holder: HostName, keys: list[LimitKey], timeout: float
    ) -> None:
        sent = self._clock()
        self._last_report_at[holder] = sent
        items = [self._local[key].demand(sent) for key in keys]
        if holder == self._host:
            grants = self._grant(self._host, items)
        else:
            try:
                grants = await self._peers.call(
                    holder, Area.LIMITS, Demands(items), timeout
                )
            except PeerError:
                self._metrics.incr("limits.holder_unreachable")
                return
        now = self._clock()
        for item in grants.items:
            local = self._local.get(LimitKey(item.scope, item.name))
            if local is not None:
                local.apply_quota(item.quota, sent + grants.lifetime, True, now)

    async def _on_message(
        self, sender: HostName, message: Demands | Grants
    ) -> Grants | None:
        match message:
            case Demands(items):
                return self._grant(sender, items)
        return None

    def _grant(self, host: HostName, items: list[LimitDemand]) -> Grants:
        now = self._clock()
        hosts = self._hosts()
        known = len(hosts.known)
        unreachable = known - len(hosts.live)
        lifetime = _GRANT_LIFETIME_PERIODS * self._period
        stable = self._hosts_are_stable(hosts.live, lifetime, now)
        grants: list[LimitGrant] = []
        for item in items:
            key = LimitKey(item.scope, item.name)
            limits = self._limits_for(key)
            if limits is None:
                continue
            held = self._held.setdefault(key, LimitAllocation())
            quota = held.grant(
                host, item, limits, unreachable, known, stable, lifetime, now
            )
            grants.append(LimitGrant(item.scope, item.name, quota))
        return Grants(lifetime, grants)

    def _hosts_are_stable(
        self, live: list[HostName], lifetime: float, now: float
    ) -> bool:
        if self._live != set(live):
            self._live = set(live)
            self._live_changed_at = now
        return now - self._live_changed_at >= lifetime


__all__ = ["LimitCatalogue", "LimitTicket", "Limits", "RegionHosts"]
