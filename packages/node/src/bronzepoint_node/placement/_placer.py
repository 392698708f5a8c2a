"""Home or away, and at which target: the choice for one request."""

import random

from msgspec import Struct

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    ENTRY_EXPIRY,
    LAST_RESORT,
    LOAD_EXPIRY,
    Registry,
    ServedRoute,
)
from bronzepoint_node.policy import (
    RegionTerms,
    RegionView,
    RequestView,
    ServiceTimes,
    TargetState,
    TargetView,
    away_terms,
    choose_target,
    draw_region,
)
from bronzepoint_schema.generated.fleet import EntryHost, EntryState, RegionLoad
from bronzepoint_schema.ids import (
    EntryName,
    HostName,
    OwnerName,
    RegionName,
    RequestId,
    TargetName,
)

from ._choice import AtHome, Elsewhere, Placement, Rejected, RejectReason
from ._cold_gate import ColdGate
from ._prompt import Prompt
from ._reading_rate import ReadingRate
from ._region_owner import weighted_owner
from ._target_table import TargetTable, Tracked, is_ejected

REPORT_MEMORY = 1.0
"""Seconds after which a report weighs a third of what it did."""
REGION_TRIP = 0.16
"""Seconds for a message to another region and back, until it is measured."""
AWAY_ADVANTAGE = 0.15
"""Seconds by which another region must be sooner: its caches are cold, and what
crosses between regions is paid for."""
LEAST_MISSING = 1500
"""Tokens of shared parts that must be missing at home for a request to go where they
are kept; fewer are read in less time than the trip takes."""
OWNER_SHARE = 0.6
"""Part of the objective within which its first answer must be expected there."""
LOST_HOST_AGE = 3.0
"""Seconds after which a host of which nothing is heard counts as lost for requests
that it works on."""
LOST_HOST_PAUSE = 2.0
"""Seconds for which a host that couldn't be reached gets nothing."""
FRESH_HOST_MS = 1000
"""Age up to which word of a host counts as fresh: two of its messages."""
TRIAL_INTERVAL = 1.0
"""Seconds between two requests of one host to a target that is silent: without any, a
target that nobody asks for reports would never be heard again."""
LAST_RANK = 9
"""Rank of a request before which everything goes."""
SILENT_AFTER = 0.25
"""Seconds of failed answers after which an engine counts as gone."""
ENGINE_PER_TOKEN = 1 / 35_000
"""Seconds to read a prompt token until it is measured."""


class PlacementAsk(Struct):
    """One request that wants a place.

    Attributes:
        forwarded: Another region sent it; it is served here or not at all.
        left: Seconds until its deadline.
        tried: Targets that it was sent to already.
        tried_hosts: Hosts of other regions that it was forwarded to already.
    """

    request_id: str
    route: ServedRoute
    prompt: Prompt | None
    forwarded: bool
    left: float
    tried: set[str]
    tried_hosts: set[str]


class Placer:
    """Chooses by what this host knows; reads no socket and sends nothing.

    Args:
        host: This host.
        region: Its region.
        table: Targets of the region.
        registry: Who lives, and the loads of the regions.
        cold: Which host may send to cold targets.
        rng: Source of the random draws.
    """

    def __init__(
        self,
        host: HostName,
        region: RegionName,
        table: TargetTable,
        registry: Registry,
        cold: ColdGate,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._region = region
        self._table = table
        self._registry = registry
        self._cold = cold
        self._rng = rng
        self._times: dict[str, ServiceTimes] = {}
        self._rates: dict[str, ReadingRate] = {}
        self._lost_hosts: dict[str, float] = {}
        self._sent_away: dict[tuple[RegionName, str], list[float]] = {}

    def times(self, service: str) -> ServiceTimes:
        """Return what is known of a service's durations."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = ServiceTimes(per_token=ENGINE_PER_TOKEN)
        return times

    def rate(self, service: str) -> ReadingRate:
        """Return how fast the engines of a service read prompts."""
        return self._rates.setdefault(service, ReadingRate())

    def place(self, ask: PlacementAsk, now: float) -> Placement:
        """Choose a target here, a host of another region, or a refusal."""
        service = service_of(ask.route, ask.request_id)
        request = self._request_view(ask)
        home = self._at_home(ask, service, request, now)
        if ask.forwarded:
            return home or self._no_room(service, ask, now)
        away = self._away(ask, service, request, now)
        if away is None:
            return home or self._no_room(service, ask, now)
        if home is None:
            return away[1]
        owner = self._to_owner(ask, service, request, home, now)
        if owner is not None:
            return owner
        if away[0] + AWAY_ADVANTAGE < home.delay:
            return away[1]
        return home

    def region_loads(self, now: float) -> list[RegionLoad]:
        """Return how busy this region's targets are, for the other regions."""
        by_service: dict[str, list[Tracked]] = {}
        for tracked in self._table.all():
            by_service.setdefault(tracked.info.service, [])
        for service in by_service:
            by_service[service] = self._usable(service, now)
        return [
            self._region_load(service, targets, now)
            for service, targets in by_service.items()
        ]

    def entry_hosts(
        self, region: RegionName, expiry: float = ENTRY_EXPIRY
    ) -> list[EntryHost]:
        """Return the entry hosts of a region that take requests."""
        return [
            host
            for host in self._registry.entries(expiry)
            if host.region == region and host.state is EntryState.ready
        ]

    def note_lost_host(self, host: str, now: float) -> None:
        """Count a host of another region as gone for a while: it can't be reached."""
        self._lost_hosts[host] = now

    def lives(self, host: str) -> bool:
        """Tell whether an entry host was heard of lately."""
        return any(
            known.name == host for known in self._registry.entries(LOST_HOST_AGE)
        )

    def note_forwarded(self, region: RegionName, service: str, now: float) -> None:
        """Count a request that was sent to another region."""
        self._sent_away.setdefault((region, service), []).append(now)

    def _region_load(
        self, service: str, targets: list[Tracked], now: float
    ) -> RegionLoad:
        views = [self._view(t, None, LAST_RANK, now) for t in targets]
        running = sum(max(v.in_flight, v.running + v.waiting) for v in views)
        slots = sum(v.slots for v in views)
        hold = self.times(service).hold
        wait = min((v.backlog for v in views), default=0.0)
        if slots and running >= slots:
            wait += hold * (running - slots + 1) / slots
        return RegionLoad(self._region, service, slots, running, int(wait * 1000), 0)

    def _at_home(
        self, ask: PlacementAsk, service: str, request: RequestView, now: float
    ) -> "AtHome | None":
        if not _serves(ask.route, self._region):
            return None
        self._table.let_return(service, now)
        targets = {t.info.incarnation: t for t in self._usable(service, now)}
        rank = ask.route.priority
        views = [self._view(t, ask.prompt, rank, now) for t in targets.values()]
        choice = choose_target(
            request,
            views,
            self.times(service),
            len(self.entry_hosts(self._region)),
            REPORT_MEMORY,
            self._rng,
            now,
        )
        if choice.target is None:
            return None
        tracked = targets[choice.target.name]
        return AtHome(tracked, choice.reason, choice.expected)

    def _usable(self, service: str, now: float) -> list[Tracked]:
        """Return targets that may be sent to, the cold ones only where allowed."""
        known = self._table.service(service)
        hosts = [host.name for host in self.entry_hosts(self._region)]
        usable = []
        for tracked in self._table.of_service(service):
            if now < tracked.cold_until:
                rate = known.cold_rate if known else 0.0
                name = tracked.info.incarnation
                if not self._cold.may_send(name, rate, hosts, now):
                    continue
            usable.append(tracked)
        return [
            tracked
            for tracked in usable
            if not is_silent(tracked, now) or now - tracked.trial_at > TRIAL_INTERVAL
        ]

    def _view(
        self, tracked: Tracked, prompt: Prompt | None, rank: int, now: float
    ) -> TargetView:
        report = tracked.report
        cached = tracked.memory.cached_tokens(prompt) if prompt else 0
        rate = self.rate(tracked.info.service).tokens_per_second
        before = tracked.load.tokens_before(rank, rate, now)
        return TargetView(
            name=TargetName(tracked.info.incarnation),
            region=self._region,
            address=tracked.info.address,
            slots=tracked.slots,
            state=TargetState.ejected if is_ejected(tracked) else TargetState.ready,
            in_flight=tracked.load.in_flight(now),
            in_flight_at_report=tracked.runs_at_report,
            running=report.running if report else 0,
            waiting=report.waiting if report else 0,
            report_age=now - tracked.report_at,
            cached_tokens=cached,
            free_tokens=tracked.free_tokens(now),
            backlog=before / rate,
        )

    def _away(
        self, ask: PlacementAsk, service: str, request: RequestView, now: float
    ) -> tuple[float, Elsewhere] | None:
        """Return the best other region with the seconds until its first answer."""
        known = self._away_terms(ask, service, request, LOAD_EXPIRY, now)
        # As in a cut of the core: what was known before it is better than nothing.
        terms = known or self._away_terms(ask, service, request, LAST_RESORT, now)
        if not terms:
            return None
        chosen = draw_region(terms, request, self._rng)
        host = self._rng.choice(self._fit_hosts(chosen.view.name, ask))
        where = Elsewhere(
            chosen.view.name,
            host.name,
            host.forward_address,
            chosen.detail(),
            chosen.delay,
        )
        return chosen.delay, where

    def _to_owner(
        self,
        ask: PlacementAsk,
        service: str,
        request: RequestView,
        home: AtHome,
        now: float,
    ) -> Elsewhere | None:
        """Return the region that keeps a prompt's shared part, where that is worth it.

        Read in each region, a shared part takes the memory and the time of three
        engines instead of one. Where the own region hasn't cached it and the answer
        would still be early, the request goes to the region that has it.
        """
        prompt = ask.prompt
        if prompt is None or not prompt.shared_key:
            return None
        cached = home.target.memory.cached_tokens(prompt)
        missing = prompt.tokens - prompt.parts[-1].tokens - cached
        if missing < LEAST_MISSING:
            return None
        terms = self._away_terms(ask, service, request, LOAD_EXPIRY, now)
        weights = {term.view.name: float(term.view.slots) for term in terms}
        weights[self._region] = sum(
            t.slots for t in self._usable(service, now) if not is_ejected(t)
        )
        owner = weighted_owner(prompt.shared_key, weights)
        for term in terms:
            if term.view.name != owner:
                continue
            shared_time = self.times(service).per_token * missing / 2
            delay = term.delay - shared_time
            if delay > OWNER_SHARE * ask.route.objective:
                return None
            host = self._rng.choice(self._fit_hosts(owner, ask))
            detail = f"holds the shared part, {term.detail()}"
            return Elsewhere(owner, host.name, host.forward_address, detail, delay)
        return None

    def _away_terms(
        self,
        ask: PlacementAsk,
        service: str,
        request: RequestView,
        expiry: float,
        now: float,
    ) -> list[RegionTerms]:
        terms = []
        for load in self._registry.loads(expiry):
            if load.service != service or load.region == self._region:
                continue
            if not _serves(ask.route, load.region) or load.slots <= 0:
                continue
            hosts = self._fit_hosts(load.region, ask)
            if not hosts:
                continue
            sent = self._sent_since(load, now)
            view = RegionView(
                name=load.region,
                slots=load.slots,
                in_progress=load.in_progress,
                expected_wait=load.wait_ms / 1000,
                trip=REGION_TRIP,
                age=load.age_ms / 1000,
                hosts=len(hosts),
            )
            if load.in_progress + sent >= load.slots * 1.5:
                continue
            terms.append(away_terms(view, request, self.times(service), sent, 0.5))
        return terms

    def _fit_hosts(self, region: RegionName, ask: PlacementAsk) -> list[EntryHost]:
        hosts = self.entry_hosts(region) or self.entry_hosts(region, LAST_RESORT)
        now = monotonic()
        fit = [
            host
            for host in hosts
            if host.name not in ask.tried_hosts
            and now - self._lost_hosts.get(host.name, float("-inf")) > LOST_HOST_PAUSE
        ]
        # One that was heard of just now is less likely to be dead.
        return [host for host in fit if host.age_ms < FRESH_HOST_MS] or fit

    def _sent_since(self, load: RegionLoad, now: float) -> float:
        sent = self._sent_away.get((load.region, load.service), [])
        since = now - load.age_ms / 1000 - REGION_TRIP
        recent = [at for at in sent if at > since]
        if sent:
            self._sent_away[load.region, load.service] = recent
        return len(recent) * max(1, len(self.entry_hosts(self._region)))

    def _request_view(self, ask: PlacementAsk) -> RequestView:
        prompt = ask.prompt
        key = prompt.shared_key if prompt else ""
        return RequestView(
            request_id=RequestId(ask.request_id),
            entry=EntryName(ask.route.name),
            owner=OwnerName(""),
            home=self._region,
            latency_weight=1.0,
            cost_weight=0.0,
            deadline_left=ask.left,
            prompt_tokens=prompt.tokens if prompt else 0,
            max_tokens=prompt.max_output if prompt else 0,
            prefix_hashes=[key] if key else [],
            tried=[TargetName(name) for name in ask.tried],
            memory_tokens=prompt.memory_tokens if prompt else 0,
        )

    def _no_room(self, service: str, ask: PlacementAsk, now: float) -> Rejected:
        hold = self.times(service).hold
        wait = min(3.0, max(0.3, hold / 2))
        return Rejected(
            RejectReason.NO_ROOM,
            wait * self._rng.uniform(0.7, 1.5),
            self._known_room(service, ask, now),
        )

    def _known_room(self, service: str, ask: PlacementAsk, now: float) -> str:
        """Return what is known of the room for a service, for the log."""
        here = [
            f"{t.info.incarnation} {t.load.in_flight(now)}/{t.slots}"
            f"{' silent' if is_silent(t, now) else ''}"
            f"{' ejected' if is_ejected(t) else ''}"
            f"{' cold' if now < t.cold_until else ''}"
            for t in self._table.of_service(service)
        ]
        there = [
            f"{load.region} {load.in_progress}/{load.slots} {load.age_ms} ms old, "
            f"{self._sent_since(load, now):.0f} sent since, "
            f"{len(self._fit_hosts(load.region, ask))} hosts"
            for load in self._registry.loads()
            if load.service == service and load.region != self._region
        ]
        closed = sorted(self._table.closed)
        homes = ", ".join(ask.route.home_regions) or "any"
        return "; ".join([*here, *there, f"homes {homes}", f"closed {closed}"])


def service_of(route: ServedRoute, request_id: str) -> str:
    """Return the service that serves a request, by the route's weights.

    It follows from the request's id, so that a host of another region that the
    request is forwarded to finds the same one.
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


def is_silent(tracked: Tracked, now: float) -> bool:
    """Tell whether an engine says nothing any more, as one behind a cut."""
    return tracked.failed_reports > 1 and now - tracked.silent_since > SILENT_AFTER


def _serves(route: ServedRoute, region: RegionName) -> bool:
    return not route.home_regions or region in route.home_regions
