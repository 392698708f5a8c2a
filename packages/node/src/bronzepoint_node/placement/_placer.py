"""Choice between this region and others for one request."""

import math
import random
from collections.abc import Callable
from dataclasses import replace

from bronzepoint_node.fleet import Registry
from bronzepoint_node.policy import RegionEstimate
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.ids import HostName, RegionName

from ._ask import PlacementRequest
from ._choice import (
    LocalPlacement,
    LocalResult,
    NoLocalTarget,
    Placement,
    Rejected,
    RejectReason,
    RemotePlacement,
)
from ._cold_start_limiter import ColdStartLimiter
from ._local_request import LocalPlacementRequest
from ._local_target_selector import LOWEST_RANK, LocalTargetSelector
from ._other_regions import OtherRegions
from ._region_leases import NO_OWN_QUEUE, UNLEASED
from ._service_estimates import ServiceEstimates
from ._target_description import describe_targets
from ._target_table import TargetTable
from ._tracked_target import TrackedTarget, is_ejected, is_unresponsive
from ._wait_forecast import MAX_RETRY, MIN_RETRY

MIN_REMOTE_ADVANTAGE = 0.15
"""Seconds by which another region must be faster to be preferred. Its caches do not
hold the prompt, and traffic between regions is paid for."""
MIN_MISSING_TOKENS = 1500
"""Tokens of shared parts that must be missing in this region for a request to go to the
region that caches them. Fewer tokens are read in less than a round trip."""
SLOW_TARGET_WAIT = 1.0
"""Seconds after which a caller retries when all targets write too slowly. Reading the
longest prompts takes that long, and the measured pace covers little more time."""

CAPACITY_REASONS = frozenset(
    {RejectReason.NO_ROOM, RejectReason.LIMITED, RejectReason.RESTING}
)
"""Reasons that another region with free capacity would resolve."""
RETRY_JITTER = (0.1, 0.5)
"""Range of the part of the forecast time that is added to it, so that callers don't
return together."""
RETRY_FLOOR = 0.7
"""Part of the longest time from which on longer forecasts are spread evenly."""
MAX_REST_SPREAD = 2.0
"""Maximum seconds over which callers return once a target takes requests again."""


class Placer:
    """Places requests using the state of this host, without any I/O.

    Args:
        region: Region of this host.
        table: Targets of the region.
        registry: Live hosts, and the loads of the regions.
        cold: Rate limit for cold targets.
        rng: Random number generator.
        selecting_hosts: Returns the entry hosts of the region that select targets
            themselves; None if all of them do.
        link_bytes: Bandwidth of an entry host's link in bytes per second.
        near: Data center whose targets are preferred; empty: none are.
        spread_by_age: Whether choices depend on the age of the load information.

    Attributes:
        estimates: Latency estimates.
        regions: The other regions.
        local_selector: Selects targets of this region.
    """

    def __init__(
        self,
        region: RegionName,
        table: TargetTable,
        registry: Registry,
        cold: ColdStartLimiter,
        rng: random.Random,
        selecting_hosts: Callable[[], list[HostName]] | None = None,
        link_bytes: float = math.inf,
        near: str = "",
        spread_by_age: bool = True,
    ) -> None:
        self._region = region
        self._near = near
        self._table = table
        self._rng = rng
        self.estimates = ServiceEstimates()
        self.regions = OtherRegions(region, registry, self.estimates, rng, link_bytes)
        self.local_selector = LocalTargetSelector(
            region,
            table,
            cold,
            self.estimates,
            lambda: self.regions.host_count(region),
            selecting_hosts or self.hosts,
            rng,
            spread_by_age,
        )

    def hosts(self) -> list[HostName]:
        """Return known entry hosts of this region that accept requests.

        In a large region these are only some of them.
        """
        return [host.name for host in self.regions.entry_hosts(self._region)]

    def may_serve_locally(self, request: PlacementRequest) -> bool:
        """Return whether this region may serve a request, and has targets for it."""
        return request.may_go_to(self._region) and self._table.has_service(
            request.selected_service, request.software_version
        )

    def local_request(self, request: PlacementRequest) -> LocalPlacementRequest:
        """Return the input of the selection of a target of this region."""
        return LocalPlacementRequest(
            request_id=request.request_id,
            service=request.selected_service,
            prompt=request.prompt,
            time_left=request.time_left,
            rank=request.rank,
            arrived=request.arrived,
            avoided=request.tried,
            suspect=request.suspect,
            software_version=request.software_version,
            organisation=request.organisation.name if request.organisation else "",
            route=request.route.name,
            route_priority=request.route.priority,
            objective=request.route.objective,
            data_center=self._near,
            lease=request.lease or (UNLEASED if request.forwarded else 0),
            apart=request.apart,
        )

    def place(self, request: PlacementRequest, now: float) -> Placement:
        """Return a target of this region, a host of another one, or a refusal."""
        if not self.may_serve_locally(request):
            return self.decide(request, NoLocalTarget(), now)
        return self.decide(
            request, self.local_selector.choose(self.local_request(request), now), now
        )

    def decide(
        self, request: PlacementRequest, found: LocalResult, now: float
    ) -> Placement:
        """Choose between this region and the others.

        Args:
            request: The request.
            found: Result of the target selection in this region.
            now: Monotonic seconds.
        """
        local = found if isinstance(found, LocalPlacement) else None
        service = request.selected_service
        request.has_own_queue = self.may_serve_locally(request)
        if request.forwarded:
            return local or self._reject(request, found)
        request_view = self.local_selector.request_view(self.local_request(request))
        if isinstance(found, NoLocalTarget) and found.lends:
            return self._reject(request, found)
        if isinstance(found, NoLocalTarget) and found.lease is not None:
            leased = self.regions.leased(
                request, service, request_view, found.lease, now
            )
            if leased is not None:
                return leased
        estimates = self.regions.fresh_estimates(request, service, request_view, now)
        remote = self.regions.best(request, service, request_view, estimates, now)
        if remote is None:
            return local or self._reject_forwardable(request, found, now)
        if not request.has_own_queue:
            return replace(remote, lease=NO_OWN_QUEUE)
        if local is None:
            return remote
        cache_holder = self._cache_holder(request, service, local, estimates, now)
        if cache_holder is not None:
            return cache_holder
        return remote if remote.delay + MIN_REMOTE_ADVANTAGE < local.delay else local

    def _cache_holder(
        self,
        request: PlacementRequest,
        service: str,
        local: LocalPlacement,
        estimates: list[RegionEstimate],
        now: float,
    ) -> RemotePlacement | None:
        """Return the region that caches parts of the prompt missing in this one.

        A part that another target of this region caches is copied from there, which
        costs less than a round trip to another region.
        """
        prompt = request.prompt
        if prompt is None or not prompt.shared_key:
            return None
        missing = prompt.tokens - prompt.parts[-1].tokens - local.cached_tokens
        if missing < MIN_MISSING_TOKENS:
            return None
        usable = self.local_selector.usable(service, now)
        slots = sum(target.slots for target in usable if not is_ejected(target))
        return self.regions.cache_holder(request, service, estimates, missing, slots)

    def region_loads(self, now: float) -> list[RegionLoad]:
        """Return the load of this region's targets, for the other regions."""
        return [
            self._region_load(service, self._forwardable_targets(service, now), now)
            for service in self._table.services()
        ]

    def _forwardable_targets(self, service: str, now: float) -> list[TrackedTarget]:
        """Return the targets whose free capacity other regions may use.

        A cold target handles two or three requests a second, which the callers of its
        own region use up. If it were reported with all its slots, it would attract
        forwarded requests that are refused after a round trip, although they could have
        waited in their own region. The same holds for one that limits its requests.
        """
        return [
            tracked
            for tracked in self.local_selector.usable(service, now)
            if now >= tracked.cold_until
            and not is_ejected(tracked)
            and not is_unresponsive(tracked, now)
            and tracked.limit.rate is None
        ]

    def _region_load(
        self, service: str, targets: list[TrackedTarget], now: float
    ) -> RegionLoad:
        views = [self.local_selector.view(t, None, LOWEST_RANK, now) for t in targets]
        running = sum(max(v.in_flight, v.running + v.waiting) for v in views)
        slots = sum(v.slots if v.allowed is None else v.allowed for v in views)
        hold = self.estimates.times(service).hold
        wait = min((v.backlog for v in views), default=0.0)
        if slots and running >= slots:
            wait += hold * (running - slots + 1) / slots
        return RegionLoad(self._region, service, slots, running, int(wait * 1000), 0)

    def _reject(self, request: PlacementRequest, found: LocalResult) -> Rejected:
        """Return a refusal with the time after which to retry."""
        service = request.selected_service
        if self._is_version_gone(request, service):
            return Rejected(RejectReason.VERSION_GONE, 0.0, final=True)
        if isinstance(found, NoLocalTarget) and found.late:
            wait = SLOW_TARGET_WAIT * self._rng.uniform(0.7, 1.5)
            return Rejected(RejectReason.NO_TIME, wait, final=True)
        if isinstance(found, NoLocalTarget) and found.rests_for:
            spread = min(found.rests_for, MAX_REST_SPREAD)
            wait = found.rests_for + self._rng.uniform(0.0, spread)
            return Rejected(RejectReason.RESTING, wait)
        if isinstance(found, NoLocalTarget) and found.limited_for:
            wait = found.limited_for * self._rng.uniform(1.0, 1.5)
            return Rejected(RejectReason.LIMITED, wait, found.crowded)
        is_final = isinstance(found, NoLocalTarget) and found.crowded
        if isinstance(found, NoLocalTarget) and found.retry_after:
            jitter = self._rng.uniform(*RETRY_JITTER)
            bounded = max(MIN_RETRY, found.retry_after) * (1 + jitter)
            wait = min(bounded, MAX_RETRY * self._rng.uniform(RETRY_FLOOR, 1.0))
            return Rejected(RejectReason.NO_ROOM, wait, is_final)
        hold = self.estimates.times(service).hold
        wait = min(3.0, max(0.3, hold / 2)) * self._rng.uniform(0.7, 1.5)
        return Rejected(RejectReason.NO_ROOM, wait, is_final)

    def _reject_forwardable(
        self, request: PlacementRequest, found: LocalResult, now: float
    ) -> Rejected:
        """Return a refusal that names the first region to have free capacity."""
        rejected = self._reject(request, found)
        if rejected.reason not in CAPACITY_REASONS or not request.refused_regions:
            return rejected
        wait = max(MIN_RETRY, min(request.refused_regions.values()) - now)
        if request.has_own_queue:
            wait = min(wait, rejected.retry_after)
        return replace(rejected, retry_after=wait)

    def _is_version_gone(self, request: PlacementRequest, service: str) -> bool:
        """Return whether no target of the required version is left that may serve."""
        version = request.software_version
        if not version or self._table.has_service(service, version):
            return False
        return not self.regions.may_serve_version(request, service)

    def describe_capacity(self, request: PlacementRequest, now: float) -> str:
        """Return the known free capacity for a request, for the log."""
        service = request.selected_service
        here = describe_targets(self._table.of_service(service), request, now)
        there = self.regions.describe(service, request, now)
        closed = sorted(self._table.closed)
        homes = " and ".join(", ".join(homes) for homes in request.homes) or "any"
        return "; ".join([*here, *there, f"homes {homes}", f"closed {closed}"])
