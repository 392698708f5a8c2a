"""Where a request goes: the decisions, in their order, for one host."""

import os
import time
from collections.abc import Callable
from random import Random

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_node.policy._admission import Admission
from bronzepoint_node.policy._baselines import Baseline
from bronzepoint_node.policy._choose_region import (
    RegionTerms,
    choose_region,
    serves,
)
from bronzepoint_node.policy._choose_target import choose_target
from bronzepoint_node.policy._entry_state import EntryState
from bronzepoint_node.policy._inputs import RegionView, RequestView, TargetView
from bronzepoint_node.policy._limits import (
    Limits,
    LimitValues,
    RegionHosts,
)
from bronzepoint_node.policy._other_regions import OtherRegions
from bronzepoint_node.policy._outputs import (
    Away,
    Home,
    Placement,
    Refused,
    TargetChoice,
)
from bronzepoint_node.policy._ramp import AwayRamp
from bronzepoint_node.policy._refusals import no_region, no_target
from bronzepoint_node.policy._retry_budget import RetryBudget, safe_to_retry
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._ticket import Ticket
from bronzepoint_schema.generated.decisions import (
    Candidate,
    RetryReason,
    TryResult,
)
from bronzepoint_schema.generated.settings import PolicyChoice, PolicySection
from bronzepoint_schema.ids import EntryName, HostName, RegionName

Targets = Callable[[], list[TargetView]]
"""Returns the entry's targets in this region, as they are seen now."""
Regions = Callable[[], list[RegionView]]
"""Returns what is known of the entry in each region, this one included."""


_PATIENCE = 1.0
"""Seconds beyond the expected time after which a forwarded request counts as lost. A
cut link is silent: without this, requests that were sent over it before the region is
seen to be unreachable would all hang until their deadlines."""


class Policy:
    """Limits, places and retries the requests of one host.

    Args:
        host: This host.
        region: Its region.
        settings: The [policy] section.
        peers: Messages to the other hosts, for the limits.
        metrics: Counts every decision that refuses, waits or sends away.
        values: The catalogue's view, for the limits' values.
        hosts: Returns the region's hosts as they are seen now.
    """

    def __init__(
        self,
        host: HostName,
        region: RegionName,
        settings: PolicySection,
        peers: Peers,
        metrics: Metrics,
        values: LimitValues,
        hosts: Callable[[], RegionHosts],
    ) -> None:
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
        self._budget = RetryBudget(settings.retry_share)
        self._baseline: Baseline | None = None
        if settings.choice is not PolicyChoice.policy:
            self._baseline = Baseline(settings.choice, region, self._rng)
        self._entries: dict[EntryName, EntryState] = {}
        self._others = OtherRegions(region, self._rng, metrics)

    async def start(self) -> None:
        """Begin to report demands to the holders of limits."""
        await self._limits.start()

    async def close(self) -> None:
        """Stop reporting."""
        await self._limits.close()

    async def enter(self, request: RequestView) -> Ticket | Refused:
        """Count a request against its limits. Each ticket must be left once."""
        taken = await self._limits.acquire(request)
        match taken:
            case Refused():
                return taken
        deadline = time.monotonic() + request.deadline_left
        return Ticket(request, taken, deadline, notes=list(taken.notes))

    async def place(
        self, ticket: Ticket, targets: Targets, regions: Regions
    ) -> Placement:
        """Choose where a request goes; may wait for a free target.

        After `Home`, count the request at its target before anything is awaited, or
        other requests are placed by the old counts.
        """
        request = ticket.request
        request.deadline_left = ticket.deadline - time.monotonic()
        views = targets()
        ticket.pool = frozenset(view.name for view in views)
        if self._baseline is not None:
            placed: Placement = self._baseline.place(request, views, regions())
        else:
            state = self._entry(request.entry)
            state.pool = ticket.pool

            def look(ahead: float) -> Placement | None:
                return self._look(ticket, ahead, targets(), regions())

            placed = await self._admission.admit(
                request,
                ticket.pool,
                look,
                lambda: state.drain(len(self._hosts().live)),
                self._service(ticket),
            )
        self._count(ticket, placed)
        placed.notes = [*ticket.notes, *placed.notes]
        return placed

    async def try_ended(
        self,
        ticket: Ticket,
        placed: Home | Away,
        result: TryResult,
        first_token: float | None,
    ) -> None:
        """Learn from one try.

        Args:
            ticket: The request.
            placed: Where it was tried.
            result: How the try ended.
            first_token: Seconds from sending it to the first token; None: none came.
        """
        request = ticket.request
        now = time.monotonic()
        state = self._entry(request.entry)
        match placed:
            case Home(target):
                if result is TryResult.timeout:
                    # It took at least so long: the target is learned to be slow.
                    first_token = now - ticket.placed_at
                if first_token is not None:
                    cached = min(target.cached_tokens, request.prompt_tokens)
                    own = max(0.001, first_token - ticket.expected_wait)
                    uncached = request.prompt_tokens - cached
                    state.times.add_first_token(target.name, own, uncached, now)
                if result is TryResult.answered:
                    slowness = state.times.slowness(target.name, now)
                    state.times.add_hold((now - ticket.placed_at) / slowness)
                    self._budget.answered(request.entry, self._region)
                await self._free_slot(ticket)
            case Away(region):
                if result is TryResult.answered:
                    self._budget.answered(request.entry, region)
                self._others.ended(request, region, result, now)

    def may_retry(
        self, ticket: Ticket, reason: RetryReason, region: RegionName | None = None
    ) -> bool:
        """Return whether a failed try may be followed by another.

        Args:
            ticket: The request.
            reason: Why the try failed.
            region: Where it failed; None: here.
        """
        request = ticket.request
        if not safe_to_retry(reason, request.idempotent):
            self._metrics.incr("retry.unsafe")
            return False
        if not self._budget.take(request.entry, region or self._region, reason):
            self._metrics.incr("retry.no_budget")
            return False
        self._metrics.incr(f"retry.{reason}")
        return True

    async def leave(self, ticket: Ticket, answered: bool, tokens: int) -> None:
        """Give back what a request has taken; once for each ticket.

        Args:
            ticket: The request.
            answered: Whether the caller got the whole answer.
            tokens: Tokens that were generated.
        """
        self._limits.release(ticket.limits, tokens)
        # A request that is cancelled during a try never reports the try's end.
        await self._free_slot(ticket)

    async def _free_slot(self, ticket: Ticket) -> None:
        if ticket.holds_slot:
            ticket.holds_slot = False
            await self._admission.ended(ticket.pool, ticket.request.owner)

    def queued(self, entry: EntryName) -> int:
        """Return how many requests of an entry wait at this host."""
        return self._admission.queued(entry)

    def expected_wait(self, entry: EntryName) -> float:
        """Return the seconds that a new request of an entry would wait here."""
        state = self._entry(entry)
        return self._admission.length(state.pool) * state.drain(len(self._hosts().live))

    def _look(
        self,
        ticket: Ticket,
        ahead: float,
        views: list[TargetView],
        regions: list[RegionView],
    ) -> Placement | None:
        request = ticket.request
        state = self._entry(request.entry)
        now = time.monotonic()
        left = ticket.deadline - now
        choice = choose_target(
            request,
            views,
            state.times,
            len(self._hosts().live),
            self._settings.report_memory,
            self._rng,
            now,
        )
        state.note_slots(views, choice, now)
        if request.forwarded:
            return self._at_home(ticket, choice, ahead, [], "sent by its home region")
        here = self._here(ticket, ahead, state, choice, regions, views)
        away, ruled_out = self._others.weigh(
            request, regions, state.times, len(self._hosts().live), now
        )
        decided = choose_region(
            request,
            left,
            here,
            away,
            state.ramp,
            self._settings.hysteresis,
            self._rng,
            now,
        )
        candidates = [*decided.candidates, *ruled_out]
        if decided.region is None:
            candidates += choice.candidates
            if serves(request, self._region):
                return no_target(request, candidates)
            return no_region(request, candidates)
        if decided.region == self._region:
            return self._at_home(ticket, choice, ahead, candidates, decided.reason)
        candidates += choice.candidates
        patience = _PATIENCE + decided.expected
        if not request.idempotent:
            patience = 0.0
        return Away(decided.region, candidates, decided.reason, [], patience)

    def _at_home(
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
            return Home(choice.target, candidates, reason)
        if choice.usable == 0:
            return no_target(ticket.request, candidates)
        return None

    def _here(
        self,
        ticket: Ticket,
        ahead: float,
        state: EntryState,
        choice: TargetChoice,
        regions: list[RegionView],
        views: list[TargetView],
    ) -> RegionTerms | None:
        request = ticket.request
        if choice.usable == 0 or not serves(request, self._region):
            return None
        found = [view for view in regions if view.name == self._region]
        view = found[0] if found else RegionView(self._region, slots=round(state.slots))
        if choice.target is not None and ahead < 1:
            cost = choice.target.cost * state.times.hold
            return RegionTerms(view, choice.expected, cost)
        delay = (ahead + 1) * state.drain(len(self._hosts().live))
        delay += state.times.first_token(request.prompt_tokens)
        cost = min(target.cost for target in views) * state.times.hold
        return RegionTerms(view, delay, cost)

    def _count(self, ticket: Ticket, placed: Placement) -> None:
        request = ticket.request
        ticket.placed_at = time.monotonic()
        match placed:
            case Home():
                ticket.holds_slot = True
                self._admission.started(ticket.pool, request.owner)
                self._metrics.incr("placed.home")
            case Away(region):
                self._others.sent(request.entry, region, ticket.placed_at)
                self._metrics.incr("placed.away")
            case Refused(kind):
                self._metrics.incr(f"placed.refused.{kind}")

    def _service(self, ticket: Ticket) -> float:
        times = self._entry(ticket.request.entry).times
        return times.first_token(0)

    def _entry(self, entry: EntryName) -> EntryState:
        state = self._entries.get(entry)
        if state is None:
            ramp = AwayRamp(self._settings.away_step)
            state = self._entries[entry] = EntryState(ServiceTimes(), ramp)
        return state


__all__ = ["Policy", "Regions", "Targets", "Ticket"]
