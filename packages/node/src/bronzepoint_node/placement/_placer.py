"""Home or away, and at which target: the choice for one request."""

import math
import random

from bronzepoint_node.fleet import Registry
from bronzepoint_node.policy import (
    RegionTerms,
    RequestView,
    TargetState,
    TargetView,
    choose_target,
)
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.ids import (
    EntryName,
    OwnerName,
    RegionName,
    RequestId,
    TargetName,
)

from ._ask import PlacementAsk, service_of
from ._choice import AtHome, Elsewhere, Placement, Rejected, RejectReason
from ._cold_gate import ColdGate
from ._fetch_source import fetch_source
from ._other_regions import OtherRegions
from ._prompt import Prompt
from ._speeds import Speeds
from ._target_table import TargetTable, Tracked, is_ejected, is_silent

REPORT_MEMORY = 1.0
"""Seconds after which a report weighs a third of what it did."""
AWAY_ADVANTAGE = 0.15
"""Seconds by which another region must be sooner: its caches are cold, and what
crosses between regions is paid for."""
LEAST_MISSING = 1500
"""Tokens of shared parts that must be missing at home for a request to go where they
are kept; fewer are read in less time than the trip takes."""
REREAD_WEIGHT = 4.0
"""Seconds of delay accepted to spare a second of reading what is kept elsewhere. On
saphan-phrase scale-1 one run each read 711, 669, 638 and 570 thousand tokens again at
weights of 0, 1, 2 and 4; at 4 a prompt's usual shared part is worth 0.7 s."""
TRIAL_INTERVAL = 1.0
"""Seconds between two requests of one host to a target that is silent: without any, a
target that nobody asks for reports would never be heard again."""
TIME_USED = 1.6
"""Multiple of the time left that a stream may be expected to take. Above 1, since the
callers' estimates of their answers are right at the median only: at 1, more callers
were refused and came again than were spared a stream that doesn't end."""
PACE_WAIT = 1.0
"""Seconds after which a caller comes back where all targets write too slowly: so long
takes the reading of the longest prompts, and the pace remembers little more."""
LAST_RANK = 9
"""Rank of a request before which everything goes."""


class Placer:
    """Chooses by what this host knows; reads no socket and sends nothing.

    Args:
        region: Region of this host.
        table: Targets of the region.
        registry: Who lives, and the loads of the regions.
        cold: Which host may send to cold targets.
        rng: Source of the random draws.

    Attributes:
        speeds: How long requests take.
        regions: The other regions.
    """

    def __init__(
        self,
        region: RegionName,
        table: TargetTable,
        registry: Registry,
        cold: ColdGate,
        rng: random.Random,
    ) -> None:
        self._region = region
        self._table = table
        self._cold = cold
        self._rng = rng
        self.speeds = Speeds()
        self.regions = OtherRegions(region, registry, self.speeds, rng)

    def place(self, ask: PlacementAsk, now: float) -> Placement:
        """Choose a target here, a host of another region, or a refusal."""
        service = service_of(ask.route, ask.request_id)
        request = self._request_view(ask)
        usable = self._usable(service, now)
        in_time = [t for t in usable if self._ends_in_time(t, ask, now)]
        home = self._at_home(ask, service, request, in_time, now)
        late = bool(usable) and not in_time
        if ask.forwarded:
            return home or self._reject(service, late)
        terms = self.regions.fresh_terms(ask, service, request, now)
        away = self.regions.best(ask, service, request, terms, now)
        if away is None:
            return home or self._reject(service, late)
        if home is None:
            return away
        keeper = self._keeper(ask, service, home, usable, terms)
        if keeper is not None:
            return keeper
        return away if away.delay + AWAY_ADVANTAGE < home.delay else home

    def _keeper(
        self,
        ask: PlacementAsk,
        service: str,
        home: AtHome,
        usable: list[Tracked],
        terms: list[RegionTerms],
    ) -> Elsewhere | None:
        """Return the region that keeps what of the prompt isn't cached at home.

        What another target of this region keeps is fetched from there, for less than
        the trip to another region and back.
        """
        prompt = ask.prompt
        if prompt is None or not prompt.shared_key:
            return None
        cached = home.cached_tokens(prompt)
        missing = prompt.tokens - prompt.parts[-1].tokens - cached
        if missing < LEAST_MISSING:
            return None
        slots = sum(t.slots for t in usable if not is_ejected(t))
        return self.regions.keeper(ask, service, terms, missing, slots)

    def region_loads(self, now: float) -> list[RegionLoad]:
        """Return how busy this region's targets are, for the other regions."""
        services = dict.fromkeys(t.info.service for t in self._table.all())
        return [
            self._region_load(service, self._open_to_others(service, now), now)
            for service in services
        ]

    def _open_to_others(self, service: str, now: float) -> list[Tracked]:
        """Return the targets whose room other regions may count on.

        A cold target stands two or three requests a second, which its own region's
        callers use up. Told with all its slots, it drew 1,386 forwarded requests in
        eleven seconds that were each refused after a trip, while they could have waited
        at home.
        """
        return [
            tracked
            for tracked in self._usable(service, now)
            if now >= tracked.cold_until
            and not is_ejected(tracked)
            and not is_silent(tracked, now)
        ]

    def _region_load(
        self, service: str, targets: list[Tracked], now: float
    ) -> RegionLoad:
        views = [self._view(t, None, LAST_RANK, now) for t in targets]
        running = sum(max(v.in_flight, v.running + v.waiting) for v in views)
        slots = sum(v.slots for v in views)
        hold = self.speeds.times(service).hold
        wait = min((v.backlog for v in views), default=0.0)
        if slots and running >= slots:
            wait += hold * (running - slots + 1) / slots
        return RegionLoad(self._region, service, slots, running, int(wait * 1000), 0)

    def _at_home(
        self,
        ask: PlacementAsk,
        service: str,
        request: RequestView,
        usable: list[Tracked],
        now: float,
    ) -> AtHome | None:
        if not ask.may_go_to(self._region):
            return None
        self._table.let_return(service, now)
        targets = {t.info.incarnation: t for t in usable}
        rank = ask.rank
        views = [self._view(t, ask.prompt, rank, now) for t in targets.values()]
        choice = choose_target(
            request,
            views,
            self.speeds.times(service),
            len(self.regions.entry_hosts(self._region)),
            REPORT_MEMORY,
            self._rng,
            now,
        )
        if choice.target is None:
            return None
        tracked = targets[choice.target.name]
        source = None
        if ask.prompt is not None:
            rate = self.speeds.rate(service).tokens_per_second
            source = fetch_source(tracked, usable, ask.prompt, rate, now)
        return AtHome(tracked, choice.reason, choice.expected, source)

    def _usable(self, service: str, now: float) -> list[Tracked]:
        """Return targets that may be sent to, the cold ones only where allowed."""
        known = self._table.service(service)
        hosts = [host.name for host in self.regions.entry_hosts(self._region)]
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
        rate = self.speeds.rate(tracked.info.service).tokens_per_second
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
            reread_weight=REREAD_WEIGHT,
            deadline_left=ask.left,
            prompt_tokens=prompt.tokens if prompt else 0,
            max_tokens=prompt.max_output if prompt else 0,
            prefix_hashes=[key] if key else [],
            tried=[TargetName(name) for name in ask.tried],
            memory_tokens=prompt.memory_tokens if prompt else 0,
            copy_seconds=self._copy_seconds(service_of(ask.route, ask.request_id)),
        )

    def _copy_seconds(self, service: str) -> float:
        known = self._table.service(service)
        if known is None or known.engine is None:
            return math.inf
        return known.engine.seconds_to_copy

    def _ends_in_time(self, target: Tracked, ask: PlacementAsk, now: float) -> bool:
        """Tell whether a stream that begins at a target now ends by its deadline.

        One that doesn't is lost with all that was read and written for it, and slows
        down the others, which then run into their own deadlines.
        """
        prompt, engine = ask.prompt, target.engine
        if prompt is None or engine is None or not engine.event_tokens:
            return True
        rate = self.speeds.rate(target.info.service).tokens_per_second
        unread = target.load.tokens_before(LAST_RANK, rate, now)
        unread += prompt.tokens - target.memory.cached_tokens(prompt)
        tokens = prompt.expected_output or prompt.max_output
        events = tokens / engine.event_tokens
        writing = events * target.pace.seconds_per_event(now)
        return unread / rate + writing < TIME_USED * ask.left

    def _reject(self, service: str, late: bool) -> Rejected:
        """Return a refusal; ``late``: every target writes too slowly just now."""
        if late:
            wait = PACE_WAIT * self._rng.uniform(0.7, 1.5)
            return Rejected(RejectReason.NO_TIME, wait)
        return self._no_room(service)

    def _no_room(self, service: str) -> Rejected:
        hold = self.speeds.times(service).hold
        wait = min(3.0, max(0.3, hold / 2))
        return Rejected(RejectReason.NO_ROOM, wait * self._rng.uniform(0.7, 1.5))

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
        homes = ", ".join(ask.route.home_regions) or "any"
        return "; ".join([*here, *there, f"homes {homes}", f"closed {closed}"])
