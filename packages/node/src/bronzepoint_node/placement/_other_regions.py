"""Other regions: what is known of them, and which of their hosts to forward to."""

import math
import random

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    ENTRY_EXPIRY,
    LAST_RESORT,
    LOAD_EXPIRY,
    Registry,
)
from bronzepoint_node.policy import (
    RegionTerms,
    RegionView,
    RequestView,
    away_terms,
    draw_region,
)
from bronzepoint_schema.generated.fleet import EntryHost, EntryState, RegionLoad
from bronzepoint_schema.ids import RegionName

from ._ask import PlacementAsk
from ._choice import Elsewhere
from ._region_owner import weighted_owner
from ._speeds import Speeds

REGION_TRIP = 0.16
"""Seconds for a message to another region and back, until it is measured."""
OWNER_SHARE = 0.6
"""Part of the objective within which its first answer must be expected there."""
LOST_HOST_AGE = 3.0
"""Seconds after which a host of which nothing is heard counts as lost for requests
that it works on."""
LOST_HOST_PAUSE = 2.0
"""Seconds for which a host that couldn't be reached gets nothing."""
FRESH_HOST_MS = 1000
"""Age up to which word of a host counts as fresh: two of its messages."""
WARM_SHARE = 0.5
"""Part of a prompt that is taken to be cached in another region: hosts don't tell each
other of caches there."""
FULL_SHARE = 1.5
"""Requests in progress for each slot from which on a region gets nothing more."""


class OtherRegions:
    """Answers whether a request should go to another region, and to which host.

    Args:
        region: Region of this host.
        registry: Who lives, and the loads of the regions.
        speeds: How long requests take.
        rng: Source of the random draws.
        link_bytes: Bytes a second on the link of an entry host.
    """

    def __init__(
        self,
        region: RegionName,
        registry: Registry,
        speeds: Speeds,
        rng: random.Random,
        link_bytes: float = math.inf,
    ) -> None:
        self._region = region
        self._registry = registry
        self._speeds = speeds
        self._rng = rng
        self._link_bytes = link_bytes
        self._lost_hosts: dict[str, float] = {}
        self._sent_away: dict[tuple[RegionName, str], dict[str, float]] = {}

    def fresh_terms(
        self, ask: PlacementAsk, service: str, request: RequestView, now: float
    ) -> list[RegionTerms]:
        """Return what each other region of which is heard would bring a request."""
        return self._terms(ask, service, request, LOAD_EXPIRY, now)

    def best(
        self,
        ask: PlacementAsk,
        service: str,
        request: RequestView,
        known: list[RegionTerms],
        now: float,
    ) -> Elsewhere | None:
        """Return the best other region that may serve it; None: there is none."""
        # As in a cut of the core: what was known before it is better than nothing.
        terms = known or self._terms(ask, service, request, LAST_RESORT, now)
        if not terms:
            return None
        chosen = draw_region(terms, request, self._rng)
        return self._where(chosen, ask, chosen.detail(), chosen.delay)

    def entry_hosts(
        self, region: RegionName, expiry: float = ENTRY_EXPIRY
    ) -> list[EntryHost]:
        """Return the entry hosts of a region that take requests."""
        return [
            host
            for host in self._registry.entries(expiry)
            if host.region == region and host.state is EntryState.ready
        ]

    def host_count(self, region: RegionName) -> int:
        """Return how many entry hosts of a region take requests."""
        return max(len(self.entry_hosts(region)), self._registry.size(region))

    def note_lost_host(self, host: str, now: float) -> None:
        """Count a host of another region as gone for a while: it can't be reached."""
        self._lost_hosts[host] = now

    def lives(self, host: str) -> bool:
        """Tell whether an entry host was heard of lately."""
        return any(
            known.name == host for known in self._registry.entries(LOST_HOST_AGE)
        )

    def note_forwarded(
        self, region: RegionName, service: str, run_id: str, now: float
    ) -> None:
        """Count a request that was sent to another region."""
        self._sent_away.setdefault((region, service), {})[run_id] = now

    def note_returned(self, region: RegionName, service: str, run_id: str) -> None:
        """Count a request no more that another region has answered."""
        self._sent_away.get((region, service), {}).pop(run_id, None)

    def keeper(
        self,
        ask: PlacementAsk,
        service: str,
        terms: list[RegionTerms],
        missing: int,
        own_slots: int,
    ) -> Elsewhere | None:
        """Return the region that keeps a prompt's shared part, where that is worth it.

        Read in each region, a shared part takes the memory and the time of three
        engines instead of one. Where the own region hasn't cached it and the answer
        would still be early, the request goes to the region that has it.

        Args:
            ask: The request.
            service: Its service.
            terms: What each other region would bring it.
            missing: Tokens of shared parts that are not cached here.
            own_slots: Slots of the targets here.
        """
        weights = {term.view.name: float(term.view.slots) for term in terms}
        weights[self._region] = own_slots
        owner = weighted_owner(ask.prompt.shared_key, weights)
        for term in terms:
            if term.view.name != owner:
                continue
            # It is cached there, so only the request's own part is read.
            cached = WARM_SHARE * missing
            delay = term.delay - self._speeds.times(service).per_token * cached
            if delay > OWNER_SHARE * ask.route.objective:
                return None
            detail = f"holds the shared part, {term.detail()}"
            return self._where(term, ask, detail, delay)
        return None

    def _where(
        self, terms: RegionTerms, ask: PlacementAsk, detail: str, delay: float
    ) -> Elsewhere:
        region = terms.view.name
        host = self._rng.choice(self._fit_hosts(region, ask))
        return Elsewhere(region, host.name, host.forward_address, detail, delay)

    def describe(self, service: str, ask: PlacementAsk, now: float) -> list[str]:
        """Return what is known of the room in each other region, for the log."""
        return [
            f"{load.region} {load.in_progress}/{load.slots} {load.age_ms} ms old, "
            f"{self._sent_since(load, now):.0f} sent since, "
            f"{len(self._fit_hosts(load.region, ask))} hosts"
            for load in self._registry.loads()
            if load.service == service and load.region != self._region
        ]

    def _terms(
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
            if not ask.may_go_to(load.region) or load.slots <= 0:
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
                trip=REGION_TRIP + self._body_time(ask),
                age=load.age_ms / 1000,
                hosts=len(hosts),
            )
            if load.in_progress + sent >= load.slots * FULL_SHARE:
                continue
            times = self._speeds.times(service)
            terms.append(away_terms(view, request, times, sent, WARM_SHARE))
        return terms

    def _body_time(self, ask: PlacementAsk) -> float:
        """Return the seconds in which a body leaves this host, and reaches another.

        A long prompt takes a narrow link longer than the trip. Left out, requests would
        be sent away that their own region answers sooner.
        """
        return 2 * ask.body_bytes / self._link_bytes

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
        fresh = [host for host in fit if host.age_ms < FRESH_HOST_MS] or fit
        return [host for host in fresh if not host.lagging] or fresh

    def _sent_since(self, load: RegionLoad, now: float) -> float:
        """Return the requests that a region has got from this one beyond its word.

        Those that it has answered don't count: a plain service whose requests are short
        would look full in regions that stand idle, as more of them are sent within the
        age of a word than have room at one moment.
        """
        sent = self._sent_away.get((load.region, load.service), {})
        since = now - load.age_ms / 1000 - REGION_TRIP
        recent = {run_id: at for run_id, at in sent.items() if at > since}
        if sent:
            self._sent_away[load.region, load.service] = recent
        return len(recent) * max(1, self.host_count(self._region))
