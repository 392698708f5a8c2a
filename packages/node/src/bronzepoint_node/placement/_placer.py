"""Home or away, and at which target: the choice for one request."""

import math
import random
from collections.abc import Callable

from bronzepoint_node.fleet import Registry
from bronzepoint_node.policy import RegionTerms
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.ids import HostName, RegionName

from ._ask import PlacementAsk, service_of
from ._choice import (
    AtHome,
    Elsewhere,
    HomeAnswer,
    NoHome,
    Placement,
    Rejected,
    RejectReason,
)
from ._cold_gate import ColdGate
from ._home_ask import HomeAsk
from ._home_choice import LAST_RANK, HomeChoice
from ._other_regions import OtherRegions
from ._speeds import Speeds
from ._target_table import TargetTable
from ._tracked import Tracked, is_ejected, is_silent

AWAY_ADVANTAGE = 0.15
"""Seconds by which another region must be sooner: its caches are cold, and what
crosses between regions is paid for."""
LEAST_MISSING = 1500
"""Tokens of shared parts that must be missing at home for a request to go where they
are kept; fewer are read in less time than the trip takes."""
PACE_WAIT = 1.0
"""Seconds after which a caller comes back where all targets write too slowly: so long
takes the reading of the longest prompts, and the pace remembers little more."""


class Placer:
    """Chooses by what this host knows; reads no socket and sends nothing.

    Args:
        region: Region of this host.
        table: Targets of the region.
        registry: Who lives, and the loads of the regions.
        cold: Which host may send to cold targets.
        rng: Source of the random draws.
        choosers: Gives the entry hosts of the region that choose targets for
            themselves; None: all of them do.
        link_bytes: Bytes a second on the link of an entry host.

    Attributes:
        speeds: How long requests take.
        regions: The other regions.
        home: Chooses targets of the own region.
    """

    def __init__(
        self,
        region: RegionName,
        table: TargetTable,
        registry: Registry,
        cold: ColdGate,
        rng: random.Random,
        choosers: Callable[[], list[HostName]] | None = None,
        link_bytes: float = math.inf,
    ) -> None:
        self._region = region
        self._table = table
        self._rng = rng
        self.speeds = Speeds()
        self.regions = OtherRegions(region, registry, self.speeds, rng, link_bytes)
        self.home = HomeChoice(
            region,
            table,
            cold,
            self.speeds,
            lambda: self.regions.host_count(region),
            choosers or self.hosts,
            rng,
        )

    def hosts(self) -> list[HostName]:
        """Return entry hosts of the own region that take requests; few of many."""
        return [host.name for host in self.regions.entry_hosts(self._region)]

    def may_stay(self, ask: PlacementAsk) -> bool:
        """Tell whether the own region may serve a request, and has targets for it."""
        service = service_of(ask.route, ask.request_id)
        return ask.may_go_to(self._region) and self._table.has_service(service)

    def home_ask(self, ask: PlacementAsk) -> HomeAsk:
        """Return what a target of the own region is chosen by."""
        return HomeAsk(
            request_id=ask.request_id,
            service=service_of(ask.route, ask.request_id),
            prompt=ask.prompt,
            left=ask.left,
            rank=ask.rank,
            arrived=ask.arrived,
            avoided=ask.tried,
            suspect=ask.suspect,
        )

    def place(self, ask: PlacementAsk, now: float) -> Placement:
        """Choose a target here, a host of another region, or a refusal."""
        if not self.may_stay(ask):
            return self.decide(ask, NoHome(), now)
        return self.decide(ask, self.home.choose(self.home_ask(ask), now), now)

    def decide(self, ask: PlacementAsk, found: HomeAnswer, now: float) -> Placement:
        """Choose between the own region and others.

        Args:
            ask: The request.
            found: What was found in the own region.
            now: Monotonic seconds.
        """
        home = found if isinstance(found, AtHome) else None
        service = service_of(ask.route, ask.request_id)
        if ask.forwarded:
            return home or self._reject(service, found)
        request = self.home.request_view(self.home_ask(ask))
        terms = self.regions.fresh_terms(ask, service, request, now)
        away = self.regions.best(ask, service, request, terms, now)
        if away is None:
            return home or self._reject(service, found)
        if home is None:
            return away
        keeper = self._keeper(ask, service, home, terms, now)
        if keeper is not None:
            return keeper
        return away if away.delay + AWAY_ADVANTAGE < home.delay else home

    def _keeper(
        self,
        ask: PlacementAsk,
        service: str,
        home: AtHome,
        terms: list[RegionTerms],
        now: float,
    ) -> Elsewhere | None:
        """Return the region that keeps what of the prompt isn't cached at home.

        What another target of this region keeps is fetched from there, for less than
        the trip to another region and back.
        """
        prompt = ask.prompt
        if prompt is None or not prompt.shared_key:
            return None
        missing = prompt.tokens - prompt.parts[-1].tokens - home.cached_tokens
        if missing < LEAST_MISSING:
            return None
        usable = self.home.usable(service, now)
        slots = sum(target.slots for target in usable if not is_ejected(target))
        return self.regions.keeper(ask, service, terms, missing, slots)

    def region_loads(self, now: float) -> list[RegionLoad]:
        """Return how busy this region's targets are, for the other regions."""
        return [
            self._region_load(service, self._open_to_others(service, now), now)
            for service in self._table.services()
        ]

    def _open_to_others(self, service: str, now: float) -> list[Tracked]:
        """Return the targets whose room other regions may count on.

        A cold target stands two or three requests a second, which its own region's
        callers use up. Told with all its slots, it would draw forwarded requests that
        are each refused after a trip, while they could have waited at home.
        """
        return [
            tracked
            for tracked in self.home.usable(service, now)
            if now >= tracked.cold_until
            and not is_ejected(tracked)
            and not is_silent(tracked, now)
        ]

    def _region_load(
        self, service: str, targets: list[Tracked], now: float
    ) -> RegionLoad:
        views = [self.home.view(t, None, LAST_RANK, now) for t in targets]
        running = sum(max(v.in_flight, v.running + v.waiting) for v in views)
        slots = sum(v.slots for v in views)
        hold = self.speeds.times(service).hold
        wait = min((v.backlog for v in views), default=0.0)
        if slots and running >= slots:
            wait += hold * (running - slots + 1) / slots
        return RegionLoad(self._region, service, slots, running, int(wait * 1000), 0)

    def _reject(self, service: str, found: HomeAnswer) -> Rejected:
        """Return a refusal that says when to come back."""
        if isinstance(found, NoHome) and found.late:
            wait = PACE_WAIT * self._rng.uniform(0.7, 1.5)
            return Rejected(RejectReason.NO_TIME, wait, final=True)
        hold = self.speeds.times(service).hold
        wait = min(3.0, max(0.3, hold / 2)) * self._rng.uniform(0.7, 1.5)
        is_final = isinstance(found, NoHome) and found.crowded
        return Rejected(RejectReason.NO_ROOM, wait, is_final)

    def known_room(self, ask: PlacementAsk, now: float) -> str:
        """Return what is known of the room for a request, for the log."""
        service = service_of(ask.route, ask.request_id)
        here = [
            f"{t.info.incarnation} {t.load.in_flight(now)}/{t.slots}"
            f"{' silent' if is_silent(t, now) else ''}"
            f"{' ejected' if is_ejected(t) else ''}"
            f"{' cold' if now < t.cold_until else ''}"
            for t in self._table.of_service(service)
        ]
        there = self.regions.describe(service, ask, now)
        closed = sorted(self._table.closed)
        homes = " and ".join(", ".join(homes) for homes in ask.homes) or "any"
        return "; ".join([*here, *there, f"homes {homes}", f"closed {closed}"])
