"""Load of the other regions, and the selection of a host to forward to."""

import math
import random
from collections.abc import Collection
from dataclasses import replace

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    ENTRY_EXPIRY,
    LOAD_EXPIRY,
    MAX_REPORT_AGE,
    Registry,
)
from bronzepoint_node.policy import (
    RegionEstimate,
    RegionView,
    RequestView,
    draw_region,
    remote_estimate,
)
from bronzepoint_schema.generated.fleet import EntryHost, EntryState, RegionLoad
from bronzepoint_schema.generated.scheduling import NoTarget
from bronzepoint_schema.ids import RegionName

from ._ask import PlacementRequest
from ._choice import RemotePlacement
from ._forward_tally import ForwardTally
from ._region_owner import weighted_owner
from ._region_reachability import RegionReachability
from ._room_borrower import LeaseGrant
from ._service_estimates import ServiceEstimates

REGION_RTT = 0.16
"""Seconds of a round trip to another region, until it has been measured."""
HOLDER_DELAY_SHARE = 0.6
"""Fraction of the route's objective within which the first event is expected from the
region that caches a part."""
UNREACHABLE_PAUSE = 2.0
"""Seconds for which a host that could not be reached gets no requests."""
FRESH_HOST_AGE_MS = 1000
"""Age in milliseconds up to which the data about a host counts as fresh: two of its
messages."""
CACHED_SHARE = 0.5
"""Fraction of a prompt that is assumed to be cached in another region, whose caches are
not reported here."""


FULL_LOAD_FACTOR = 1.5
"""Requests in progress per slot from which on a region gets no more requests that can't
wait in this region, and wait in that one."""


class OtherRegions:
    """Decides whether a request may be forwarded, and to which host.

    Args:
        region: Region of this host.
        registry: Live hosts, and the loads of the regions.
        speeds: Latency estimates.
        rng: Random number generator.
        link_bytes: Bandwidth of an entry host's link in bytes per second.

    Attributes:
        reachability: Regions that this host can reach.
    """

    def __init__(
        self,
        region: RegionName,
        registry: Registry,
        speeds: ServiceEstimates,
        rng: random.Random,
        link_bytes: float = math.inf,
    ) -> None:
        self._region = region
        self._registry = registry
        self._speeds = speeds
        self._rng = rng
        self._link_bytes = link_bytes
        self.reachability = RegionReachability()
        self._tally = ForwardTally(region)
        self._unreachable_hosts: dict[str, float] = {}
        self._forwarded: dict[tuple[RegionName, str], dict[str, float]] = {}

    def fresh_estimates(
        self,
        request: PlacementRequest,
        service: str,
        request_view: RequestView,
        now: float,
    ) -> list[RegionEstimate]:
        """Return the expected cost of each other region with a recent load report."""
        return self._region_estimates(request, service, request_view, LOAD_EXPIRY, now)

    def best(
        self,
        request: PlacementRequest,
        service: str,
        request_view: RequestView,
        fresh_estimates: list[RegionEstimate],
        now: float,
    ) -> RemotePlacement | None:
        """Return the best other region for a request; None if there is none."""
        # Without recent data, as in a network partition of the core, older data is
        # better than none.
        estimates = fresh_estimates or self._region_estimates(
            request, service, request_view, MAX_REPORT_AGE, now
        )
        if not estimates:
            return None
        chosen = draw_region(estimates, request_view, self._rng)
        return self._remote_placement(chosen, request, chosen.detail(), chosen.delay)

    def lease_regions(
        self, request: PlacementRequest, service: str, now: float
    ) -> list[RegionName]:
        """Return the regions that may serve a request under a lease."""
        if request.forwarded:
            return []
        return [
            load.region
            for load in self._registry.loads()
            if load.service == service and self._may_serve(request, load, now)
        ]

    def leased(
        self,
        request: PlacementRequest,
        service: str,
        request_view: RequestView,
        lease: LeaseGrant,
        now: float,
    ) -> RemotePlacement | None:
        """Return a host of the region that leases capacity to this one.

        The region's load report doesn't matter, as it excludes what is leased.
        """
        for load in self._registry.loads(MAX_REPORT_AGE):
            if (load.region, load.service) != (lease.region, service):
                continue
            hosts = self._eligible_hosts(load.region, request)
            if not hosts or not self._may_serve(request, load, now):
                return None
            view = self._region_view(load, request, hosts, in_progress=0, wait=0.0)
            times = self._speeds.times(service)
            estimate = remote_estimate(view, request_view, times, 0, CACHED_SHARE)
            detail = f"lease {lease.number}, {estimate.detail()}"
            placement = self._remote_placement(
                estimate, request, detail, estimate.delay
            )
            return replace(placement, lease=lease.number)
        return None

    def entry_hosts(
        self, region: RegionName, expiry: float = ENTRY_EXPIRY
    ) -> list[EntryHost]:
        """Return the entry hosts of a region that accept requests."""
        return [
            host
            for host in self._registry.entries(expiry)
            if host.region == region and host.state is EntryState.ready
        ]

    def host_count(self, region: RegionName) -> int:
        """Return the number of entry hosts of a region that accept requests."""
        return max(len(self.entry_hosts(region)), self._registry.size(region))

    def record_unreachable_host(
        self, region: RegionName, host: str, timed_out: bool, now: float
    ) -> None:
        """Record that a host of another region could not be reached."""
        self._unreachable_hosts[host] = now
        if timed_out:
            self.reachability.record_timeout(region, host, now)

    def has_free_slots(self, region: RegionName, service: str, now: float) -> bool:
        """Return whether a region reports free slots that were not used up since."""
        loads = [load for load in self._registry.loads() if load.service == service]
        return any(
            self._tally.free_slots(load, loads, self._sent_since(load, now)) > 0
            for load in loads
            if load.region == region
        )

    def note_forwarded(
        self, region: RegionName, service: str, run_id: str, now: float
    ) -> None:
        """Record a request that is forwarded to another region."""
        self.reachability.record_forward(region, now)
        self._forwarded.setdefault((region, service), {})[run_id] = now

    def record_returned(self, region: RegionName, service: str, run_id: str) -> None:
        """Remove a forwarded request that has been answered."""
        self._forwarded.get((region, service), {}).pop(run_id, None)

    def cache_holder(
        self,
        request: PlacementRequest,
        service: str,
        estimates: list[RegionEstimate],
        missing: int,
        own_slots: int,
    ) -> RemotePlacement | None:
        """Return the region that caches a prompt's shared part, if forwarding pays.

        If each region read a shared part, it would take memory and time at three
        engines instead of one. A request whose shared part is not cached here goes to
        the region that caches it, if its answer is still early there.

        Args:
            request: The request.
            service: Its service.
            estimates: Expected cost of each other region.
            missing: Tokens of shared parts that are not cached here.
            own_slots: Slots of the targets here.
        """
        weights = {
            estimate.view.name: float(estimate.view.slots) for estimate in estimates
        }
        weights[self._region] = own_slots
        owner = weighted_owner(request.prompt.shared_key, weights)
        for estimate in estimates:
            if estimate.view.name != owner:
                continue
            # The part is cached there, so only the rest of the prompt has to be read.
            cached = CACHED_SHARE * missing
            delay = estimate.delay - self._speeds.times(service).per_token * cached
            if delay > HOLDER_DELAY_SHARE * request.route.objective:
                return None
            detail = f"holds the shared part, {estimate.detail()}"
            return self._remote_placement(estimate, request, detail, delay)
        return None

    def _remote_placement(
        self,
        estimate: RegionEstimate,
        request: PlacementRequest,
        detail: str,
        delay: float,
    ) -> RemotePlacement:
        region = estimate.view.name
        host = self._rng.choice(self._eligible_hosts(region, request))
        return RemotePlacement(region, host.name, host.forward_address, detail, delay)

    def describe(
        self, service: str, request: PlacementRequest, now: float
    ) -> list[str]:
        """Return the known free capacity of each other region, for the log."""
        return [
            f"{load.region} {load.in_progress}/{load.slots} {load.age_ms} ms old, "
            f"{self._sent_since(load, now):.0f} sent since, "
            f"{len(self._eligible_hosts(load.region, request))} hosts"
            f"{' refused it' if load.region in request.refused_regions else ''}"
            f"{' skipped' if self.reachability.is_skipped(load.region, now) else ''}"
            for load in self._registry.loads()
            if load.service == service and load.region != self._region
        ]

    def _region_estimates(
        self,
        request: PlacementRequest,
        service: str,
        request_view: RequestView,
        expiry: float,
        now: float,
    ) -> list[RegionEstimate]:
        estimates = []
        loads = [x for x in self._registry.loads(expiry) if x.service == service]
        for load in loads:
            if not self._may_serve(request, load, now):
                continue
            sent = self._sent_since(load, now)
            if load.in_progress + sent >= load.slots * FULL_LOAD_FACTOR:
                continue
            free = self._tally.free_slots(load, loads, sent)
            if request.has_own_queue and free <= 0:
                # A forwarded request is refused where no slot is free, while it may
                # wait in the queue of this region.
                continue
            hosts = self._eligible_hosts(load.region, request)
            if not hosts:
                continue
            wait = load.wait_ms / 1000
            view = self._region_view(load, request, hosts, load.in_progress, wait)
            times = self._speeds.times(service)
            estimates.append(
                remote_estimate(view, request_view, times, sent, CACHED_SHARE)
            )
        return estimates

    def _may_serve(
        self, request: PlacementRequest, load: RegionLoad, now: float
    ) -> bool:
        """Return whether a request may go to a region, whatever the load there."""
        if load.region == self._region or not request.may_be_forwarded_to(load.region):
            return False
        if not self.reachability.may_forward(load.region, now):
            return False
        version = request.software_version
        return self._registry.versions.may_serve(load.region, load.service, version)

    def _region_view(
        self,
        load: RegionLoad,
        request: PlacementRequest,
        hosts: list[EntryHost],
        in_progress: int,
        wait: float,
    ) -> RegionView:
        return RegionView(
            name=load.region,
            slots=load.slots,
            in_progress=in_progress,
            expected_wait=wait,
            trip=REGION_RTT + self._transfer_time(request),
            age=load.age_ms / 1000,
            hosts=len(hosts),
        )

    def may_serve_version(self, request: PlacementRequest, service: str) -> bool:
        """Return whether another region may have targets of the version needed.

        While the service has a single one here, another that began a stream is too new
        to be known here.
        """
        versions = self._registry.versions
        return not versions.several(service) or any(
            load.service == service
            and load.region != self._region
            and request.may_go_to(load.region)
            and versions.may_serve(load.region, service, request.software_version)
            for load in self._registry.loads(MAX_REPORT_AGE)
        )

    def _transfer_time(self, request: PlacementRequest) -> float:
        """Return the seconds to send a body from this host and receive it at another.

        On a narrow link a long prompt takes longer than the round trip. Without this
        time, requests would be forwarded that this region answers sooner.
        """
        return 2 * request.body_bytes / self._link_bytes

    def _eligible_hosts(
        self, region: RegionName, request: PlacementRequest
    ) -> list[EntryHost]:
        hosts = self.entry_hosts(region) or self.entry_hosts(region, MAX_REPORT_AGE)
        now = monotonic()
        eligible = [
            host
            for host in hosts
            if host.name not in request.tried_hosts
            and now - self._unreachable_hosts.get(host.name, float("-inf"))
            > UNREACHABLE_PAUSE
        ]
        # A host with recent contact is less likely to be dead.
        fresh = [
            host for host in eligible if host.age_ms < FRESH_HOST_AGE_MS
        ] or eligible
        return [host for host in fresh if not host.lagging] or fresh

    def _sent_since(self, load: RegionLoad, now: float) -> float:
        """Estimate the requests forwarded to a region since its last load report.

        The scheduler counts those of all hosts of this region. Without its count each
        other host is assumed to have forwarded as many as this one.

        Answered requests are excluded. A service with short requests can receive more
        of them between two reports than it has slots, so that an idle region would look
        full.
        """
        sent = self._forwarded.get((load.region, load.service), {})
        since = now - load.age_ms / 1000 - REGION_RTT
        recent = {run_id: at for run_id, at in sent.items() if at > since}
        if sent:
            self._forwarded[load.region, load.service] = recent
        reported = self._tally.reported(load.region, load.service, now)
        if reported is None:
            return len(recent) * max(1, self.host_count(self._region))
        reported_at, count = reported
        return max(len(recent), count + sum(at > reported_at for at in recent.values()))

    def expect_forward(
        self, loads: list[RegionLoad], eligible: Collection[RegionName], now: float
    ) -> list[int]:
        """Return what the hosts of this region have forwarded since each report.

        Called by the scheduler for each request that its host may forward now.

        Args:
            loads: Reports about one service.
            eligible: Regions that the request may be forwarded to.
            now: Monotonic seconds.
        """
        windows = [
            REGION_RTT + min(load.age_ms / 1000, self._speeds.times(load.service).hold)
            for load in loads
        ]
        return self._tally.expect_forward(loads, windows, eligible, now)

    def apply_scheduler_answer(self, answer: NoTarget, now: float) -> None:
        """Apply what the scheduler knows of the other regions."""
        self.reachability.record_silent_regions(answer.silent_regions, now)
        self._tally.record_reported(answer.loads, answer.forwarded, now)
