"""Placement of requests on one host: limits, admission, region, target, retries."""

import os
import time
from collections.abc import Callable
from random import Random

import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_node.policy._admission import Admission
from bronzepoint_node.policy._baselines import Baseline
from bronzepoint_node.policy._choose_region import (
    RegionEstimate,
    choose_region,
    residency_allows,
)
from bronzepoint_node.policy._choose_target import choose_target
from bronzepoint_node.policy._entry_estimates import EntryEstimates
from bronzepoint_node.policy._entry_retries import EntryRetries, safe_to_retry
from bronzepoint_node.policy._inputs import RegionView, RequestView, TargetView
from bronzepoint_node.policy._limits import (
    LimitCatalogue,
    Limits,
    RegionHosts,
)
from bronzepoint_node.policy._other_regions import OtherRegions
from bronzepoint_node.policy._outputs import (
    LocalPlacement,
    Placement,
    Refused,
    RemotePlacement,
    TargetChoice,
)
from bronzepoint_node.policy._ramp import ForwardRamp
from bronzepoint_node.policy._refusals import no_region, no_target
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._spread_choice import EvenSequence
from bronzepoint_node.policy._ticket import Ticket
from bronzepoint_schema.generated.decisions import (
    Candidate,
    RetryReason,
    TryResult,
)
from bronzepoint_schema.generated.settings import PolicyChoice, PolicySection
from bronzepoint_schema.ids import EntryName, HostName, RegionName

ListTargets = Callable[[], list[TargetView]]
"""Returns the current views of the entry's targets in this region."""
ListRegions = Callable[[], list[RegionView]]
"""Returns the current views of the entry in each region, this one included."""


_FORWARD_WAIT_MARGIN_SECONDS = 1.0
"""Time beyond the expected one after which the answer to a forwarded request is late.
Over a partitioned link no error arrives, so another place is sought then. Without one
the answer is awaited until the deadline: the region may be slow."""


class Policy:
    """Limits, places and retries the requests of one host.

    Args:
        host: This host.
        region: This host's region.
        settings: The [policy] section.
        peers: Messages to the other hosts, for the limits.
        metrics: Counts placements, waits, refusals and retries.
        values: Source of the values of limits.
        hosts: Returns the region's current hosts.
        spread_by_age: Whether choices depend on the age of the load information.
    """

    def __init__(
        self,
        host: HostName,
        region: RegionName,
        settings: PolicySection,
        peers: Peers,
        metrics: Metrics,
        values: LimitCatalogue,
        hosts: Callable[[], RegionHosts],
        spread_by_age: bool = True,
    ) -> None:
        self._host = host
        self._spread_by_age = spread_by_age
        self._region = region
        self._settings = settings
        self._metrics = metrics
        self._hosts = hosts
        self._rng = Random(settings.seed or int.from_bytes(os.urandom(8)))
        self._limits = Limits(
            host,
            peers,
            values,
            hosts,
            settings.limits_period,
            settings.limit_holders,
            metrics,
        )
        self._admission = Admission(settings.queue_limit, metrics)
        self._retries = EntryRetries(
            settings.retry_share, settings.retry_slack, time.monotonic(), metrics
        )
        self._baseline: Baseline | None = None
        if settings.choice is not PolicyChoice.policy:
            self._baseline = Baseline(settings.choice, region, self._rng)
        self._estimates: dict[EntryName, EntryEstimates] = {}
        self._other_regions = OtherRegions(region, self._rng, metrics)

    async def start(self) -> None:
        """Start reporting demand to the holders of limits."""
        await self._limits.start()

    async def close(self) -> None:
        """Stop reporting."""
        await self._limits.close()

    async def enter(self, request: RequestView) -> Ticket | Refused:
        """Charge a request to its limits; call `leave` once for each ticket."""
        charged = await self._limits.acquire(request)
        match charged:
            case Refused():
                return charged
        deadline = time.monotonic() + request.deadline_left
        return Ticket(request, charged, deadline, notes=list(charged.notes))

    async def place(
        self, ticket: Ticket, targets: ListTargets, regions: ListRegions
    ) -> Placement:
        """Choose where a request goes; may wait for a free target.

        After `LocalPlacement`, count the request at its target before awaiting
        anything; otherwise other requests are placed by the old counts.
        """
        request = ticket.request
        request.deadline_left = ticket.deadline - time.monotonic()
        views = targets()
        ticket.pool = frozenset(view.name for view in views)
        if self._baseline is not None:
            placed: Placement = self._baseline.place(request, views, regions())
        else:
            estimates = self._estimates_for(request.entry)
            estimates.pool = ticket.pool

            def try_place(ahead: float) -> Placement | None:
                return self._try_place(ticket, ahead, targets(), regions())

            placed = await self._admission.admit(
                request,
                ticket.pool,
                try_place,
                lambda: estimates.start_interval(len(self._hosts().live)),
                self._first_token_time(ticket),
            )
        self._record_placement(ticket, placed)
        placed.notes = [*ticket.notes, *placed.notes]
        return placed

    def find_replacement(
        self,
        ticket: Ticket,
        region: RegionName,
        targets: ListTargets,
        regions: ListRegions,
    ) -> LocalPlacement | RemotePlacement | None:
        """Place a request elsewhere whose answer from a region is late.

        The returned place and a retry of the budget are taken; count the request at
        its target before awaiting anything. Queued requests that rank higher aren't
        overtaken.

        Args:
            ticket: The request.
            region: The region whose answer is late.
            targets: Returns the current views of the entry's targets in this region.
            regions: Returns the current views of the entry in each region.
        """
        request = ticket.request
        time_left = ticket.deadline - time.monotonic()
        views = targets()
        pool = frozenset(view.name for view in views)
        tried_regions = [*request.tried_regions, region]
        moved = msgspec.structs.replace(
            request, tried_regions=tried_regions, deadline_left=time_left
        )
        probe = msgspec.structs.replace(ticket, request=moved, pool=pool)
        if self._baseline is not None:
            placed: Placement | None = self._baseline.place(moved, views, regions())
        else:
            ahead = self._admission.ahead(moved, pool, ticket.placed_at)
            placed = self._try_place(probe, ahead, views, regions())
        match placed:
            case LocalPlacement() if probe.expected_wait < time_left:
                pass
            case RemotePlacement(max_wait=max_wait) if (
                max_wait < time_left + _FORWARD_WAIT_MARGIN_SECONDS
            ):
                pass
            case _:
                return None
        if not self.may_retry(ticket, RetryReason.target_error, region):
            return None
        ticket.expected_wait, ticket.pool = probe.expected_wait, pool
        self._record_placement(ticket, placed)
        return placed

    async def record_try(
        self,
        ticket: Ticket,
        placed: LocalPlacement | RemotePlacement,
        result: TryResult,
        first_token: float | None,
    ) -> None:
        """Update the estimates from one finished try.

        Args:
            ticket: The request.
            placed: Where it was tried.
            result: How the try ended.
            first_token: Seconds from sending it to the first token; None: none came.
        """
        request = ticket.request
        now = time.monotonic()
        estimates = self._estimates_for(request.entry)
        match placed:
            case LocalPlacement(target):
                if result is TryResult.timeout:
                    # The elapsed time is a lower bound that marks the target as slow.
                    first_token = now - ticket.placed_at
                if first_token is not None:
                    cached = min(target.cached_tokens, request.prompt_tokens)
                    service_time = max(0.001, first_token - ticket.expected_wait)
                    uncached = request.prompt_tokens - cached
                    estimates.times.add_first_token(
                        target.name, service_time, uncached, now
                    )
                if result is TryResult.answered:
                    slowness = estimates.times.slowness(target.name, now)
                    estimates.times.add_hold((now - ticket.placed_at) / slowness)
                    self._retries.record_answered(request.entry, self._region, now)
                await self._release_slot(ticket)
            case RemotePlacement(region):
                if result is TryResult.answered:
                    self._retries.record_answered(request.entry, region, now)
                self._other_regions.record_end(request, region, result, now)

    def may_retry(
        self, ticket: Ticket, reason: RetryReason, region: RegionName | None = None
    ) -> bool:
        """Return whether a failed try may be followed by another.

        Args:
            ticket: The request.
            reason: Why the try failed.
            region: Where it failed; None: in this region.
        """
        request = ticket.request
        if not safe_to_retry(reason, request.idempotent):
            self._metrics.incr("retry.unsafe")
            return False
        if not self._retries.take(
            request.entry,
            region or self._region,
            reason,
            self._hosts(),
            time.monotonic(),
        ):
            self._metrics.incr("retry.no_budget")
            return False
        self._metrics.incr(f"retry.{reason}")
        return True

    async def leave(self, ticket: Ticket, answered: bool, tokens: int) -> None:
        """Release what a request was charged; call once for each ticket.

        Args:
            ticket: The request.
            answered: Whether the caller got the whole answer.
            tokens: Number of generated tokens.
        """
        self._limits.release(ticket.limits, tokens)
        # For a request cancelled during a try, `record_try` isn't called.
        await self._release_slot(ticket)

    async def _release_slot(self, ticket: Ticket) -> None:
        if ticket.holds_slot:
            ticket.holds_slot = False
            await self._admission.ended(ticket.pool, ticket.request.owner)

    def queued(self, entry: EntryName) -> int:
        """Return the number of requests of an entry queued on this host."""
        return self._admission.queued(entry)

    def expected_wait(self, entry: EntryName) -> float:
        """Return the seconds for which a new request of an entry would wait here."""
        estimates = self._estimates_for(entry)
        return self._admission.length(estimates.pool) * estimates.start_interval(
            len(self._hosts().live)
        )

    def _try_place(
        self,
        ticket: Ticket,
        ahead: float,
        views: list[TargetView],
        regions: list[RegionView],
    ) -> Placement | None:
        request = ticket.request
        estimates = self._estimates_for(request.entry)
        now = time.monotonic()
        time_left = ticket.deadline - now
        hosts = len(self._hosts().live)
        choice = choose_target(
            request,
            views,
            estimates.times,
            hosts,
            self._settings.report_memory,
            self._rng,
            now,
            choosers=hosts if self._spread_by_age else 1,
            sequence=estimates.sequence,
        )
        estimates.update_slots(views, choice, now)
        if request.forwarded:
            return self._place_locally(
                ticket, choice, ahead, [], "sent by its home region"
            )
        local = self._local_estimate(ticket, ahead, estimates, choice, regions, views)
        remote, excluded_regions = self._other_regions.evaluate(
            request, regions, estimates.times, hosts, now
        )
        decided = choose_region(
            request,
            time_left,
            local,
            remote,
            estimates.ramp,
            self._settings.hysteresis,
            self._rng,
            now,
        )
        candidates = [*decided.candidates, *excluded_regions]
        if decided.region is None:
            candidates += choice.candidates
            if residency_allows(request, self._region):
                return no_target(request, candidates)
            return no_region(request, candidates)
        if decided.region == self._region:
            return self._place_locally(
                ticket, choice, ahead, candidates, decided.reason
            )
        candidates += choice.candidates
        max_wait = _FORWARD_WAIT_MARGIN_SECONDS + decided.expected
        if not request.idempotent:
            max_wait = 0.0
        return RemotePlacement(decided.region, candidates, decided.reason, [], max_wait)

    def _place_locally(
        self,
        ticket: Ticket,
        choice: TargetChoice,
        ahead: float,
        regions: list[Candidate],
        region_reason: str,
    ) -> Placement | None:
        candidates = [*regions, *choice.candidates]
        if choice.target is not None and ahead < 1:
            ticket.expected_wait = choice.wait
            reason = f"{region_reason}; {choice.reason}"
            return LocalPlacement(choice.target, candidates, reason)
        if choice.usable == 0:
            return no_target(ticket.request, candidates)
        return None

    def _local_estimate(
        self,
        ticket: Ticket,
        ahead: float,
        estimates: EntryEstimates,
        choice: TargetChoice,
        regions: list[RegionView],
        views: list[TargetView],
    ) -> RegionEstimate | None:
        request = ticket.request
        if choice.usable == 0 or not residency_allows(request, self._region):
            return None
        matching = [view for view in regions if view.name == self._region]
        view = (
            matching[0]
            if matching
            else RegionView(self._region, slots=round(estimates.slots))
        )
        if choice.target is not None and ahead < 1:
            cost = choice.target.cost * estimates.times.hold
            return RegionEstimate(view, choice.expected, cost)
        delay = (ahead + 1) * estimates.start_interval(len(self._hosts().live))
        delay += estimates.times.first_token(request.prompt_tokens)
        cost = min(target.cost for target in views) * estimates.times.hold
        return RegionEstimate(view, delay, cost)

    def _record_placement(self, ticket: Ticket, placed: Placement) -> None:
        request = ticket.request
        ticket.placed_at = time.monotonic()
        match placed:
            case LocalPlacement():
                ticket.holds_slot = True
                self._admission.started(ticket.pool, request.owner)
                self._metrics.incr("placed.home")
            case RemotePlacement(region):
                self._other_regions.record_sent(request.entry, region, ticket.placed_at)
                self._metrics.incr("placed.away")
            case Refused(kind):
                self._metrics.incr(f"placed.refused.{kind}")

    def _first_token_time(self, ticket: Ticket) -> float:
        times = self._estimates_for(ticket.request.entry).times
        return times.first_token(0)

    def _estimates_for(self, entry: EntryName) -> EntryEstimates:
        estimates = self._estimates.get(entry)
        if estimates is None:
            ramp = ForwardRamp(self._settings.away_step)
            estimates = self._estimates[entry] = EntryEstimates(
                ServiceTimes(), ramp, EvenSequence(Random(f"{self._host} {entry}"))
            )
        return estimates


__all__ = ["ListRegions", "ListTargets", "Policy", "Ticket"]
