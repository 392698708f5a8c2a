"""Selection of a target of this region for one request."""

import math
import random
from collections.abc import Callable

from bronzepoint_node.policy import (
    EvenSequence,
    RequestView,
    TargetChoice,
    TargetState,
    TargetView,
    choose_target,
    may_have_capacity,
    reported_others,
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
from ._cold_start_limiter import RATE_SHARE as COLD_RATE_SHARE
from ._cold_start_limiter import ColdStartLimiter
from ._fetch_source import fetch_source
from ._local_request import LocalPlacementRequest
from ._prompt import Prompt
from ._reading_share import (
    deadline_factor,
    expected_event_seconds,
    is_light,
)
from ._request_cost import RequestCosts
from ._service_estimates import ServiceEstimates
from ._staleness_bound import MAX_AGE
from ._target_groups import order_groups
from ._target_speed import MAX_MEASURED_SHARE, update_factors
from ._target_table import TargetTable
from ._tracked_target import TRIAL_INTERVAL, TrackedTarget, is_ejected, is_unresponsive

REPORT_TIME_CONSTANT = 1.0
"""Seconds after which the weight of an engine's report has decayed to a third."""
REREAD_WEIGHT = 4.0
"""Seconds of extra delay accepted to save one second of reading a part that another
target caches."""
DEADLINE_FACTOR = 1.6
"""Multiple of the remaining time that a stream may be expected to take at a lightly
loaded target. It is above 1 because the callers' estimates of their answer lengths are
accurate only at the median. At a full target it is 1."""
MIN_LIMITED_WAIT = 0.1
"""Minimum seconds until a request that all targets' limits exclude may be retried."""
MAX_LIMITED_WAIT = 3.0
"""Maximum of these seconds: a limit may end earlier than it allows the next request."""
NEIGHBOUR_WEIGHT = 0.1
"""Seconds of delay accepted to save one stream one second beside a prompt that is read.
Such a delay mostly shows as a longer pause between two events, which costs less than a
later first event."""
MIN_CROSS_ADVANTAGE = 0.05
"""Seconds by which a target in another data center must be better, where those nearby
are preferred."""
SPEED_INTERVAL = 0.2
"""Seconds between two computations of the relative speeds of a service's targets."""
_NO_OWN_SHARE = 1_000_000
"""Number of hosts for which no host has slots of its own at a target. The slots are for
the requests of all hosts here, and a target refuses what exceeds them."""
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
        spread_by_age: Whether hosts that select targets at the same time spread their
            requests by the age of what they know of each other.

    Attributes:
        costs: Costs of requests in target seconds.
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
        spread_by_age: bool = True,
    ) -> None:
        self._spread_by_age = spread_by_age
        self._sequences: dict[str, EvenSequence] = {}
        self._region = region
        self._table = table
        self._cold = cold
        self._speeds = speeds
        self._host_count = host_count
        self._selecting_hosts = selecting_hosts
        self._rng = rng
        self.costs = RequestCosts(table, speeds)
        self._speeds_at: dict[str, float] = {}

    def choose(
        self, request: LocalPlacementRequest, now: float, age: float = 0.0
    ) -> LocalResult:
        """Return the target for a request, or why there is none.

        Args:
            request: The request.
            now: Monotonic seconds.
            age: Maximum age in seconds of what is known of other hosts' requests.
        """
        choosers = self._count_choosers(age)
        self._table.begin_due_return(request.service, now)
        self._update_speeds(request.service, now)
        key = request.prompt.shared_key if request.prompt else ""
        is_late = []
        for group in order_groups(self._table.groups(request.service), key, self._rng):
            allowed = [target for target in group if request.allows(target.info)]
            usable = self._filter_usable(allowed, now)
            found = self._choose_in_group(request, usable, now, age, choosers)
            if isinstance(found, LocalPlacement):
                self._note_granted(request, found, now)
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
        self,
        request: LocalPlacementRequest,
        usable: list[TrackedTarget],
        now: float,
        age: float,
        choosers: int,
    ) -> LocalResult:
        rate = self._speeds.rate(request.service).tokens_per_second
        if choosers == 1 and not any(
            may_have_capacity(t.load.in_flight(now), t.slots) for t in usable
        ):
            # Most choices for queued requests end here; the rest costs far more. With
            # older reports, some of the known requests are expected to have ended.
            may_finish = any(
                self._finishes_in_time(t, request, rate, now) for t in usable
            )
            return NoLocalTarget(late=bool(usable) and not may_finish)
        in_time = [t for t in usable if self._finishes_in_time(t, request, rate, now)]
        admitted = in_time
        if request.has_long_prompt:
            admitted = [t for t in in_time if self._may_read(t, request, rate, now)]
        for candidates in self._candidate_sets(request, admitted, now):
            choice = self._choose_candidate(request, candidates, now, age, choosers)
            if choice.target is None and request.software_version:
                # The stream can go on nowhere else than at a target of its version.
                choice = self._choose_candidate(
                    request, candidates, now, age, choosers, accept_ejected=True
                )
            if choice.target is not None:
                found = {t.info.incarnation: t for t in candidates}
                target = found[choice.target.name]
                return self._local_placement(request, target, in_time, choice, now)
        self._speeds.held_by_reading += bool(in_time) and not admitted
        return NoLocalTarget(late=bool(usable) and not in_time)

    def _candidate_sets(
        self, request: LocalPlacementRequest, usable: list[TrackedTarget], now: float
    ) -> list[list[TrackedTarget]]:
        """Return sets of candidates, to be tried in order.

        A suspect goes to the target with the fewest requests in progress, since a crash
        loses all of them. It avoids targets that run another suspect: after a crash the
        two could not be distinguished. If no such target has free capacity, all usable
        targets are candidates, except for a request that waits to be apart.
        """
        not_isolated = [target for target in usable if not target.is_isolated(now)]
        if request.suspect:
            not_isolated.sort(key=lambda target: target.load.in_flight(now))
            apart = [[target] for target in not_isolated]
            return apart if request.apart else [*apart, usable]
        if len(not_isolated) == len(usable):
            return [usable]
        return [not_isolated, usable]

    def _choose_candidate(
        self,
        request: LocalPlacementRequest,
        usable: list[TrackedTarget],
        now: float,
        age: float,
        choosers: int,
        *,
        accept_ejected: bool = False,
    ) -> TargetChoice:
        views = [self.view(t, request.prompt, request.rank, now) for t in usable]
        if request.data_center:
            for tracked, view in zip(usable, views, strict=True):
                if tracked.info.data_center != request.data_center:
                    view.detour = MIN_CROSS_ADVANTAGE
        hosts = self._host_count()
        if choosers > 1:
            for view, tracked in zip(views, usable, strict=True):
                _separate_reported(view, tracked, age, now)
                if len(self._selecting_hosts()) == 1:
                    # A new scheduler. Its own count includes what it granted to the
                    # other hosts, so it says nothing about what they run besides.
                    view.report_age = age
            hosts = _NO_OWN_SHARE
        if accept_ejected:
            for view in views:
                view.state = TargetState.ready
        return choose_target(
            self.request_view(request),
            views,
            self._speeds.times(request.service),
            hosts,
            REPORT_TIME_CONSTANT,
            self._rng,
            now,
            explain=False,
            choosers=choosers,
            sequence=self._sequence(request.service),
        )

    def _sequence(self, service: str) -> EvenSequence:
        sequence = self._sequences.get(service)
        if sequence is None:
            sequence = self._sequences[service] = EvenSequence(self._rng)
        return sequence

    def _count_choosers(self, age: float) -> int:
        """Return the number of hosts whose choices are unknown until reported.

        A scheduler knows all choices, unless it is new: others chose themselves before.
        """
        if not self._spread_by_age:
            return 1
        choosers = len(self._selecting_hosts())
        return choosers if age < MAX_AGE else max(choosers, self._host_count())

    def _local_placement(
        self,
        request: LocalPlacementRequest,
        target: TrackedTarget,
        usable: list[TrackedTarget],
        choice: TargetChoice,
        now: float,
    ) -> LocalPlacement:
        rate = self._rate(target)
        before = target.load.tokens_before(request.rank, rate, now)
        quiet = target.load.total(now).is_quiet
        if request.prompt is None:
            return LocalPlacement(
                target, choice.reason, choice.expected, None, 0, before, quiet=quiet
            )
        holders = usable
        if request.data_center:
            # Where targets nearby are preferred, bytes between data centers are dear.
            data_center = target.info.data_center
            holders = [t for t in usable if t.info.data_center == data_center]
        source = fetch_source(target, holders, request.prompt, rate, now)
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

    def start_rate(self, service: str, now: float) -> float:
        """Return the requests per second that a service starts when it is full.

        It follows from the slots and the mean duration. Cold targets and those that
        limit their requests count with their rates, and those that get none with zero.
        """
        known = self._table.service(service)
        cold_rate = known.cold_rate if known is not None else 0.0
        hold = self._speeds.times(service).hold
        rate = 0.0
        for target in self._table.of_service(service):
            is_closed = not self._table.is_open(target) or is_ejected(target)
            if is_closed or is_unresponsive(target, now):
                continue
            each = target.slots / hold
            if now < target.cold_until:
                each = min(each, COLD_RATE_SHARE * cold_rate)
            if target.limit.rate is not None:
                each = min(each, self._limited_rate(target))
            rate += each
        return rate

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
        missing = tracked.missing_tokens(prompt) if prompt else 0
        usual_rate = self._speeds.rate(tracked.info.service).tokens_per_second
        rate = usual_rate / tracked.speed.reading_factor
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
            allowed=tracked.concurrency.limit,
            free_tokens=tracked.free_tokens(now) - missing,
            backlog=before / usual_rate,
            reading_factor=tracked.speed.reading_factor if tracked.engine else None,
            writing_factor=tracked.speed.writing_factor if tracked.engine else None,
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
            neighbour_weight=NEIGHBOUR_WEIGHT,
        )

    def _copy_seconds(self, service: str) -> float:
        known = self._table.service(service)
        if known is None or known.engine is None:
            return math.inf
        return known.engine.seconds_to_copy

    def _finishes_in_time(
        self,
        target: TrackedTarget,
        request: LocalPlacementRequest,
        usual_rate: float,
        now: float,
    ) -> bool:
        """Return whether a stream that starts now would end by its deadline.

        A stream that misses its deadline wastes all work spent on it, and slows down
        other streams so that they miss theirs.
        """
        prompt, engine = request.prompt, target.engine
        if prompt is None or engine is None or not engine.event_tokens:
            return True
        rate = usual_rate / target.speed.reading_factor
        unread = target.load.tokens_before(LOWEST_RANK, rate, now)
        unread += prompt.tokens - target.memory.cached_tokens(prompt)
        events = prompt.output_tokens / engine.event_tokens
        writing = events * target.pace.seconds_per_event(now)
        in_flight = target.load.in_flight(now)
        factor = deadline_factor(in_flight, target.slots, DEADLINE_FACTOR)
        return unread / rate + writing < factor * request.time_left

    def _rate(self, target: TrackedTarget) -> float:
        """Return the prompt tokens that a target reads per second."""
        usual = self._speeds.rate(target.info.service).tokens_per_second
        return usual / target.speed.reading_factor

    def _update_speeds(self, service: str, now: float) -> None:
        """Compute the relative speeds of a service's targets, if that is due."""
        if now - self._speeds_at.get(service, -math.inf) < SPEED_INTERVAL:
            return
        self._speeds_at[service] = now
        targets = [
            target for target in self._table.of_service(service) if target.engine
        ]
        update_factors([target.speed for target in targets], now)
        rate = self._speeds.rate(service).tokens_per_second
        event_seconds = self._speeds.mix(service).event_seconds(now)
        for target in targets:
            share = target.load.reading.current(rate, now)
            expected = 0.0
            if share <= MAX_MEASURED_SHARE:
                event_tokens = target.engine.event_tokens
                expected = expected_event_seconds(
                    share, rate, event_tokens, event_seconds
                )
            target.speed.event_seconds = expected
            target.concurrency.update(
                target.load.in_flight(now),
                expected / event_seconds if expected else 0.0,
                target.slots,
                now,
            )

    def _may_read(
        self,
        target: TrackedTarget,
        request: LocalPlacementRequest,
        usual_rate: float,
        now: float,
    ) -> bool:
        """Return whether a target may read one more long prompt beside its streams."""
        prompt, engine = request.prompt, target.engine
        in_flight = target.load.in_flight(now)
        if prompt is None or engine is None or is_light(in_flight, target.slots):
            return True
        return target.load.reading.admits(
            prompt.tokens - target.memory.cached_tokens(prompt),
            in_flight,
            target.slots,
            usual_rate / target.speed.reading_factor,
            engine.event_tokens,
            self._speeds.mix(request.service),
            now,
            target.speed.writing_factor,
        )

    def _note_granted(
        self, request: LocalPlacementRequest, found: LocalPlacement, now: float
    ) -> None:
        """Record what the selected target has to read and write for a request."""
        prompt, target = request.prompt, found.target
        if prompt is None or target.engine is None or not target.engine.event_tokens:
            return
        unread = prompt.tokens - found.cached_tokens
        events = prompt.output_tokens / target.engine.event_tokens
        mix = self._speeds.mix(request.service)
        mix.note_granted(unread, events, now)
        pace = target.pace.seconds_per_event(now) / target.speed.writing_factor
        mix.note_pace(pace, now)
        target.load.reading.note_granted(unread, events, request.time_left, now)


def _separate_reported(
    view: TargetView, tracked: TrackedTarget, age: float, now: float
) -> None:
    """Separate what other hosts have reported from what is known without delay."""
    total = tracked.load.total(now)
    reported = total.reported + reported_others(view)
    exact = total.in_flight - total.reported
    if age >= MAX_AGE and tracked.report is not None:
        # The reports of other hosts were dropped or are overdue. What the engine said
        # includes their requests.
        reported = max(reported, view.running + view.waiting - exact)
    view.in_flight = view.in_flight_at_report = exact
    view.running, view.waiting = exact + round(reported), 0
    is_missing = age >= MAX_AGE and tracked.report is None and not reported
    view.report_age = math.inf if is_missing else age
