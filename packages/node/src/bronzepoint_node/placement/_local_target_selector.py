"""Selection of a target of this region for one request."""

import math
import random
from collections.abc import Callable

from bronzepoint_node.policy import (
    RequestView,
    TargetChoice,
    TargetState,
    TargetView,
    choose_target,
    may_have_capacity,
)
from bronzepoint_schema.ids import (
    EntryName,
    HostName,
    OwnerName,
    RegionName,
    RequestId,
    TargetName,
)

from ._choice import LocalPlacement, LocalResult, NoLocalTarget
from ._cold_start_limiter import ColdStartLimiter
from ._fetch_source import fetch_source
from ._local_request import LocalPlacementRequest
from ._prompt import Prompt
from ._service_estimates import ServiceEstimates
from ._target_groups import order_groups
from ._target_table import TargetTable
from ._tracked_target import TRIAL_INTERVAL, TrackedTarget, is_ejected, is_unresponsive

REPORT_TIME_CONSTANT = 1.0
"""Seconds after which the weight of an engine's report has decayed to a third."""
REREAD_WEIGHT = 4.0
"""Seconds of extra delay accepted to save one second of reading a part that another
target caches."""
DEADLINE_FACTOR = 1.6
"""Multiple of the remaining time that a stream may be expected to take. It is above
1 because the callers' estimates of their answer lengths are accurate only at the
median."""
MIN_LIMITED_WAIT = 0.1
"""Minimum seconds until a request that all targets' limits exclude may be retried."""
MAX_LIMITED_WAIT = 3.0
"""Maximum of these seconds: a limit may end earlier than it allows the next request."""
LOWEST_RANK = 9
"""Rank of a request that is served after all others."""


class LocalTargetSelector:
    """Selects targets from the state of this host, without any I/O.

    Args:
        region: Region of this host.
        table: Targets of the region.
        cold: Rate limit for cold targets.
        speeds: Latency estimates.
        host_count: Returns the number of entry hosts of the region.
        selecting_hosts: Returns the entry hosts that select targets themselves.
        rng: Random number generator.
    """

    def __init__(
        self,
        region: RegionName,
        table: TargetTable,
        cold: ColdStartLimiter,
        speeds: ServiceEstimates,
        host_count: Callable[[], int],
        selecting_hosts: Callable[[], list[HostName]],
        rng: random.Random,
    ) -> None:
        self._region = region
        self._table = table
        self._cold = cold
        self._speeds = speeds
        self._host_count = host_count
        self._selecting_hosts = selecting_hosts
        self._rng = rng

    def choose(self, request: LocalPlacementRequest, now: float) -> LocalResult:
        """Return the target for a request, or why there is none."""
        self._table.begin_due_return(request.service, now)
        key = request.prompt.shared_key if request.prompt else ""
        is_late = []
        for group in order_groups(self._table.groups(request.service), key, self._rng):
            allowed = [target for target in group if request.allows(target.info)]
            usable = self._filter_usable(allowed, now)
            found = self._choose_in_group(request, usable, now)
            if isinstance(found, LocalPlacement):
                return found
            is_late.append(found.late)
        return NoLocalTarget(
            late=bool(is_late) and all(is_late),
            limited_for=self._limited_for(request.service, now),
            rests_for=self._table.rests_for(
                request.service, request.software_version, now
            ),
        )

    def _choose_in_group(
        self, request: LocalPlacementRequest, usable: list[TrackedTarget], now: float
    ) -> LocalResult:
        if not any(may_have_capacity(t.load.in_flight(now), t.slots) for t in usable):
            # Most choices for queued requests end here; the rest costs far more.
            may_finish = any(self._finishes_in_time(t, request, now) for t in usable)
            return NoLocalTarget(late=bool(usable) and not may_finish)
        in_time = [t for t in usable if self._finishes_in_time(t, request, now)]
        for candidates in self._candidate_sets(request, in_time, now):
            choice = self._choose_candidate(request, candidates, now)
            if choice.target is None and request.software_version:
                # The stream can go on nowhere else than at a target of its version.
                choice = self._choose_candidate(
                    request, candidates, now, accept_ejected=True
                )
            if choice.target is not None:
                found = {t.info.incarnation: t for t in candidates}
                target = found[choice.target.name]
                return self._local_placement(request, target, in_time, choice, now)
        return NoLocalTarget(late=bool(usable) and not in_time)

    def _candidate_sets(
        self, request: LocalPlacementRequest, usable: list[TrackedTarget], now: float
    ) -> list[list[TrackedTarget]]:
        """Return sets of candidates, to be tried in order.

        A suspect goes to the target with the fewest requests in progress, since a crash
        loses all of them. It avoids targets that run another suspect: after a crash the
        two could not be distinguished. If no such target has free capacity, all usable
        targets are candidates.
        """
        not_isolated = [target for target in usable if not target.is_isolated(now)]
        if request.suspect:
            not_isolated.sort(key=lambda target: target.load.in_flight(now))
            return [*([target] for target in not_isolated), usable]
        if len(not_isolated) == len(usable):
            return [usable]
        return [not_isolated, usable]

    def _choose_candidate(
        self,
        request: LocalPlacementRequest,
        usable: list[TrackedTarget],
        now: float,
        *,
        accept_ejected: bool = False,
    ) -> TargetChoice:
        views = [self.view(t, request.prompt, request.rank, now) for t in usable]
        if accept_ejected:
            for view in views:
                view.state = TargetState.ready
        return choose_target(
            self.request_view(request),
            views,
            self._speeds.times(request.service),
            self._host_count(),
            REPORT_TIME_CONSTANT,
            self._rng,
            now,
            explain=False,
        )

    def _local_placement(
        self,
        request: LocalPlacementRequest,
        target: TrackedTarget,
        usable: list[TrackedTarget],
        choice: TargetChoice,
        now: float,
    ) -> LocalPlacement:
        rate = self._speeds.rate(request.service).tokens_per_second
        before = target.load.tokens_before(request.rank, rate, now)
        quiet = target.load.total(now).is_quiet
        if request.prompt is None:
            return LocalPlacement(
                target, choice.reason, choice.expected, None, 0, before, quiet=quiet
            )
        source = fetch_source(target, usable, request.prompt, rate, now)
        sources = [target] if source is None else [target, source]
        cached = max(holder.memory.cached_tokens(request.prompt) for holder in sources)
        return LocalPlacement(
            target,
            choice.reason,
            choice.expected,
            source,
            cached,
            before,
            quiet=quiet,
        )

    def seconds_to_drain(self, service: str, waiting: int) -> float:
        """Return the seconds in which a service starts a number of requests."""
        targets = self._table.of_service(service)
        limited = [target for target in targets if target.limit.rate is not None]
        slots = sum(target.slots for target in targets if target.limit.rate is None)
        hold = self._speeds.times(service).hold
        if not limited:
            return waiting * hold / max(1, slots)
        rate = slots / hold + sum(map(self._limited_rate, limited))
        return waiting / rate if rate else math.inf

    def _limited_rate(self, target: TrackedTarget) -> float:
        """Return the requests per second that this host may send to a target."""
        name, hosts = target.info.incarnation, self._selecting_hosts()
        return target.limit.host_rate(name, self._cold.host, hosts)

    def _may_send_limited(self, target: TrackedTarget, now: float) -> bool:
        """Return whether a target's request limit allows a request of this host."""
        if target.limit.rate is None:
            return True
        return not self._seconds_until_next(target, now)

    def _seconds_until_next(self, target: TrackedTarget, now: float) -> float:
        return target.limit.seconds_until_next(self._limited_rate(target), now)

    def _limited_for(self, service: str, now: float) -> float:
        """Return `NoLocalTarget.limited_for` for a service."""
        if self._table.has_unlimited(service):
            return 0.0
        targets = self._table.of_service(service)
        if not targets:
            return 0.0
        wait = min(self._seconds_until_next(target, now) for target in targets)
        return min(MAX_LIMITED_WAIT, max(MIN_LIMITED_WAIT, wait))

    def usable(self, service: str, now: float) -> list[TrackedTarget]:
        """Return targets that may get requests, cold ones only if the limit allows."""
        return self._filter_usable(self._table.of_service(service), now)

    def _filter_usable(
        self, targets: list[TrackedTarget], now: float
    ) -> list[TrackedTarget]:
        return [
            tracked
            for tracked in targets
            if self._table.is_open(tracked)
            and not tracked.is_resting(now)
            and (now >= tracked.cold_until or self._may_send_cold(tracked, now))
            and self._may_send_limited(tracked, now)
            and (
                not is_unresponsive(tracked, now)
                or now - tracked.trial_at > TRIAL_INTERVAL
            )
        ]

    def _may_send_cold(self, tracked: TrackedTarget, now: float) -> bool:
        """Return whether a cold target may get a request of this host now."""
        known = self._table.service(tracked.info.service)
        rate = known.cold_rate if known else 0.0
        name = tracked.info.incarnation
        return self._cold.may_send(name, rate, self._selecting_hosts(), now)

    def view(
        self, tracked: TrackedTarget, prompt: Prompt | None, rank: int, now: float
    ) -> TargetView:
        """Return a target as input of the choice."""
        report = tracked.report
        cached = tracked.memory.cached_tokens(prompt) if prompt else 0
        rate = self._speeds.rate(tracked.info.service).tokens_per_second
        total = tracked.load.total(now)
        before = total.tokens_before(rank, rate, now)
        return TargetView(
            name=TargetName(tracked.info.incarnation),
            region=self._region,
            address=tracked.info.address,
            slots=tracked.slots,
            state=TargetState.ejected if is_ejected(tracked) else TargetState.ready,
            in_flight=total.in_flight,
            in_flight_at_report=tracked.runs_at_report,
            running=report.running if report else 0,
            waiting=report.waiting if report else 0,
            report_age=now - tracked.report_at,
            cached_tokens=cached,
            free_tokens=tracked.free_tokens(now),
            backlog=before / rate,
        )

    def request_view(self, request: LocalPlacementRequest) -> RequestView:
        """Return a request as input of the choice."""
        prompt = request.prompt
        key = prompt.shared_key if prompt else ""
        return RequestView(
            request_id=RequestId(request.request_id),
            entry=EntryName(request.service),
            owner=OwnerName(""),
            home=self._region,
            latency_weight=1.0,
            cost_weight=0.0,
            reread_weight=REREAD_WEIGHT,
            deadline_left=request.time_left,
            prompt_tokens=prompt.tokens if prompt else 0,
            max_tokens=prompt.max_output if prompt else 0,
            prefix_hashes=[key] if key else [],
            tried=[TargetName(name) for name in request.avoided],
            memory_tokens=prompt.memory_tokens if prompt else 0,
            copy_seconds=self._copy_seconds(request.service),
        )

    def _copy_seconds(self, service: str) -> float:
        known = self._table.service(service)
        if known is None or known.engine is None:
            return math.inf
        return known.engine.seconds_to_copy

    def _finishes_in_time(
        self, target: TrackedTarget, request: LocalPlacementRequest, now: float
    ) -> bool:
        """Return whether a stream that starts now would end by its deadline.

        A stream that misses its deadline wastes all work spent on it, and slows down
        other streams so that they miss theirs.
        """
        prompt, engine = request.prompt, target.engine
        if prompt is None or engine is None or not engine.event_tokens:
            return True
        rate = self._speeds.rate(target.info.service).tokens_per_second
        unread = target.load.tokens_before(LOWEST_RANK, rate, now)
        unread += prompt.tokens - target.memory.cached_tokens(prompt)
        tokens = prompt.expected_output or prompt.max_output
        events = tokens / engine.event_tokens
        writing = events * target.pace.seconds_per_event(now)
        return unread / rate + writing < DEADLINE_FACTOR * request.time_left
