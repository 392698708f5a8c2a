"""Limits of owners, entries and classes that hold over all hosts of a region."""

import time
from collections.abc import Callable
from typing import Protocol

import curio
from msgspec import Struct, field

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_node.policy._limit_holder import HeldLimit
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

_LIFETIME_PERIODS = 2.5
_EARLY_GAP_PERIODS = 0.25
_GRANT_WAIT = 0.2
"""Longest wait, in seconds, of a request that would be refused by an old grant."""
_QUIET = 0.1
"""Part of the equal part below which a host's demand isn't reported. All hosts
together let through no more than this part of the limit besides the grants."""
_IDLE_AFTER = 10.0
"""Seconds without requests after which a limit is no longer kept."""
_DEFAULT_MAX_TOKENS = 256
_RETRY_IN_PROGRESS = 1.0


class RegionHosts(Struct):
    """Hosts of this region, this one included.

    Attributes:
        live: hosts that can be reached.
        known: those, and the ones that are suspect or dead but not forgotten.
    """

    live: list[HostName]
    known: list[HostName]


class LimitValues(Protocol):
    """Where the limits' values are looked up: the catalogue's view."""

    def entry(self, name: EntryName) -> ModelEntry | ServiceEntry | None:
        """Return an entry."""

    def owner(self, name: OwnerName) -> OwnerItem | None:
        """Return an organisation."""

    def class_item(self, cls: EntryClass) -> ClassItem | None:
        """Return a class."""


class LimitTicket(Struct):
    """What a request has taken of its limits.

    Attributes:
        tokens: estimate that was charged.
    """

    keys: list[LimitKey]
    tokens: float
    notes: list[str] = field(default_factory=list)


class Limits:
    """This host's part in the limits of its region.

    Each limit has a holder among the region's hosts, found by rendezvous hash. A host
    reports its demands to the holders once in a period, all limits of one holder in
    one message, and gets a grant for each; in between it decides by itself. A host
    without a grant has its equal part, the limit divided by the known hosts: where it
    needs little, and where the holder can't be reached and the last grant has ended.

    Over a time T a region lets through at most 1.1 times the limit times (T + one
    second of burst), and one request for each host: the tenth is what hosts use that
    need too little to report it. When demand moves to other hosts, when holders
    change, or when hosts can't reach a holder that believes them live, at most
    another limit's worth is let through until the old grants have ended.

    Args:
        host: This host.
        peers: Messages to the region's other hosts.
        values: The catalogue's view.
        hosts: Returns the region's hosts as they are seen now.
        period: Seconds between two reports.
        holders: Hosts that the limits are divided over.
        metrics: Counts refusals, reports and expired grants.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        host: HostName,
        peers: Peers,
        values: LimitValues,
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
        self._held: dict[LimitKey, HeldLimit] = {}
        self._asked: dict[HostName, float] = {}
        self._live: set[HostName] = set()
        self._live_since = clock()
        self._task: curio.Task | None = None
        peers.register(Area.LIMITS, LimitMessage, self._on_message)

    async def start(self) -> None:
        """Begin to report demands."""
        self._task = await curio.spawn(self._report_periodically)

    async def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def acquire(self, request: RequestView) -> LimitTicket | Refused:
        """Take a request's part of its limits, or say which one refuses it."""
        now = self._clock()
        bounds = self._bounds(request)
        if not bounds:
            return LimitTicket([], 0.0)
        tokens = float(request.max_tokens or _DEFAULT_MAX_TOKENS)
        for key in bounds:
            self._local_limit(key).ask(tokens, now)
        refused = self._take(bounds, tokens)
        if refused is not None and self._may_ask_early(refused[0]):
            # The demand may be newer than the grant: the rest may stand idle elsewhere.
            await self._ask(self._holder(refused[0]), [refused[0]], _GRANT_WAIT)
            refused = self._take(bounds, tokens)
        if refused is None:
            names = ", ".join(key.text() for key in bounds)
            return LimitTicket(list(bounds), tokens, [f"limits: within {names}"])
        return self._refusal(*refused, tokens)

    def release(self, ticket: LimitTicket, tokens: float) -> None:
        """Give a request's part back, and correct the estimate of its tokens."""
        now = self._clock()
        for key in ticket.keys:
            local = self._local.get(key)
            if local is not None:
                local.leave(ticket.tokens - tokens, now)

    async def report(self) -> None:
        """Report all demands once, and take in the grants."""
        self._forget_idle()
        self._settled(self._hosts().live, 0.0, self._clock())
        by_holder: dict[HostName, list[LimitKey]] = {}
        for key in self._busy():
            by_holder.setdefault(self._holder(key), []).append(key)
        async with curio.TaskGroup() as tasks:
            for holder, keys in by_holder.items():
                await tasks.spawn(self._ask, holder, keys, self._period)

    def size(self) -> int:
        """Return how many limits this host keeps now."""
        return len(self._local)

    def _bounds(self, request: RequestView) -> dict[LimitKey, catalogue.Limits]:
        keys = [
            LimitKey(LimitScope.owner, request.owner),
            LimitKey(LimitScope.entry, request.entry),
            LimitKey(LimitScope.class_, request.entry_class),
        ]
        bounds = {key: self._values_of(key) for key in keys}
        return {key: limits for key, limits in bounds.items() if limits is not None}

    def _values_of(self, key: LimitKey) -> catalogue.Limits | None:
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
        self, bounds: dict[LimitKey, catalogue.Limits], tokens: float
    ) -> tuple[LimitKey, RefusalKind] | None:
        now = self._clock()
        taken: list[LocalLimit] = []
        for key, limits in bounds.items():
            local = self._local[key]
            if now >= local.until:
                self._fall_back(local, limits, now)
            kind = local.refusal(limits, tokens, now)
            if kind is not None:
                for earlier in taken:
                    earlier.put_back(tokens, now)
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
                retry_after = _RETRY_IN_PROGRESS
        retry_after = max(0.1, retry_after)
        self._metrics.incr(f"limits.{kind}.{key.scope}")
        message = f"The limit of {key.scope} {key.name!r} is used up in this region."
        remedy = (
            f"Send it again after {retry_after:.1f} s, or ask an operator to raise "
            f"the limits of {key.scope} {key.name!r}."
        )
        note = f"limits: {key.text()} refuses with {kind}"
        return Refused(kind, message, remedy, retry_after, reason=note, notes=[note])

    def _fall_back(
        self, local: LocalLimit, limits: catalogue.Limits, now: float
    ) -> None:
        """Go on with the equal part, until the holder is heard again."""
        known = ranked(local.key.text(), self._hosts().known)
        count = max(1, len(known))
        extra = limits.in_progress % count
        rank = known.index(self._host) if self._host in known else count
        quota = Quota(
            rate=limits.rate / count,
            slots=limits.in_progress // count + (1 if rank < extra else 0),
            tokens=limits.tokens / count,
        )
        local.apply(quota, now + self._period, False, now)
        self._metrics.incr("limits.equal_part")

    def _holder(self, key: LimitKey) -> HostName:
        live = ranked("limits", self._hosts().live)[: self._holders]
        return ranked(key.text(), live or [self._host])[0]

    def _may_ask_early(self, key: LimitKey) -> bool:
        last = self._asked.get(self._holder(key), 0.0)
        return self._clock() - last >= _EARLY_GAP_PERIODS * self._period

    async def _report_periodically(self) -> None:
        while True:
            await curio.sleep(self._period)
            await self.report()

    def _busy(self) -> list[LimitKey]:
        """Return the limits whose demand here is worth a report.

        Most organisations send each host a request now and then. Were all of them
        reported, the reports would grow with the organisations instead of the load.
        """
        now = self._clock()
        known = max(1, len(self._hosts().known))
        busy = []
        for key, local in self._local.items():
            limits = self._values_of(key)
            if limits is not None and local.busy(limits, _QUIET / known, now):
                busy.append(key)
        return busy

    def _forget_idle(self) -> None:
        now = self._clock()
        idle = [
            key
            for key, local in self._local.items()
            if local.in_use <= 0 and now - local.used > _IDLE_AFTER
        ]
        for key in idle:
            del self._local[key]
        lapsed = [
            key
            for key, held in self._held.items()
            if all(share.until < now - _IDLE_AFTER for share in held.shares.values())
        ]
        for key in lapsed:
            del self._held[key]
        self._metrics.gauge("limits.kept", len(self._local))

    async def _ask(
        self, holder: HostName, keys: list[LimitKey], timeout: float
    ) -> None:
        sent = self._clock()
        self._asked[holder] = sent
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
                local.apply(item.quota, sent + grants.lifetime, True, now)

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
        silent = known - len(hosts.live)
        lifetime = _LIFETIME_PERIODS * self._period
        settled = self._settled(hosts.live, lifetime, now)
        grants: list[LimitGrant] = []
        for item in items:
            key = LimitKey(item.scope, item.name)
            limits = self._values_of(key)
            if limits is None:
                continue
            held = self._held.setdefault(key, HeldLimit())
            quota = held.grant(
                host, item, limits, silent, known, settled, lifetime, now
            )
            grants.append(LimitGrant(item.scope, item.name, quota))
        return Grants(lifetime, grants)

    def _settled(self, live: list[HostName], lifetime: float, now: float) -> bool:
        if self._live != set(live):
            self._live = set(live)
            self._live_since = now
        return now - self._live_since >= lifetime


__all__ = ["LimitTicket", "LimitValues", "Limits", "RegionHosts"]
