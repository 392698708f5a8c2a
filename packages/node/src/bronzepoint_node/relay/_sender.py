"""Sends requests to targets and to other regions."""

from collections.abc import Coroutine

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import ClientAnswer, HttpClient
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.forwarded_runs import ForwardedRuns, Forwarding
from bronzepoint_node.placement import (
    ColdStartLimiter,
    LocalPlacement,
    OtherRegions,
    Placer,
    RemotePlacement,
    TargetTable,
    TrackedTarget,
    is_unresponsive,
)
from bronzepoint_node.quarantine import CrashDetector, WatchedRun
from bronzepoint_node.retries import Delivery
from bronzepoint_node.stream_origins import Origins, StreamOrigin
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.generated.target_loads import FirstToken, Hold
from bronzepoint_schema.ids import HostName, RegionName

from ._answer_buffer import BufferPool
from ._authenticator import Authenticator
from ._call import Answered, Call, MayHaveRun, NotRun, TryOutcome
from ._codec import Codec, CopyInstructions, TargetVerdict
from ._handover import Handover
from ._host_headers import (
    FINGERPRINT_HEADER,
    FORWARDED_HEADER,
    LEASE_HEADER,
    MAX_RUNS_HEADER,
    ORIGIN_HEADER,
    PERMIT_HEADER,
    RUNS_HEADER,
    SEND_HEADER,
)
from ._resume_check import ResumeCheck
from ._run_watch import (
    CHECK_INTERVAL,
    RunWatch,
    Sign,
    event_patience,
    head_patience,
)
from ._try import Destination, Try

MAX_IDLE_REPEATABLE = 3.0
"""Maximum seconds that a connection to a target may have been idle to be reused for a
request that may run twice."""
MAX_IDLE_ONCE = 0.8
"""Maximum idle seconds of a reused connection for a request that may not run twice: if
the target closes the connection at that moment, the request is lost."""
MAX_IDLE_BETWEEN_HOSTS = 20.0
"""Maximum idle seconds of a reused connection to another host, which closes idle
connections after 60 seconds."""
DEADLINE_MARGIN = 0.1
"""Seconds past a request's deadline at which a wait for its answer times out, so that
the deadline always ends the wait first."""
TRANSFER_MARGIN = 0.3
"""Seconds after a reply of another host within which the events that it had sent before
arrive."""

OWN_VERDICTS = frozenset({TargetVerdict.ANSWER, TargetVerdict.NOT_RUN})
"""Verdicts on answers that the intended target sent, and not a replacement of it."""

_log = get_logger("relay")


class Sender:
    """Sends a request to its placement, and records the outcome.

    Args:
        region: Region of this host.
        table: Targets of the region.
        placer: Records latencies and unreachable hosts.
        cold: Records requests sent to cold targets.
        crash_detector: Records failed requests, and detects target crashes.
        client: Connections to targets.
        hosts: Connections to entry hosts of other regions.
        codec: Builds request headers and classifies answers.
        authenticator: Signs the organisation header of forwarded requests.
        origins: Records where streams have begun.
        handover: Finds places that take over from runs that may have ended.
        forwarded_runs: Exchanges runs and progress with the hosts forwarded to.
        metrics: Counters.
        resume_check: Tells whether the known targets are from before a pause.
    """

    def __init__(
        self,
        region: RegionName,
        table: TargetTable,
        placer: Placer,
        cold: ColdStartLimiter,
        crash_detector: CrashDetector,
        client: HttpClient,
        hosts: HttpClient,
        codec: Codec,
        authenticator: Authenticator,
        origins: Origins,
        handover: Handover,
        forwarded_runs: ForwardedRuns,
        metrics: Metrics,
        resume_check: ResumeCheck,
    ) -> None:
        self._region = region
        self._table = table
        self._placer = placer
        self._cold = cold
        self._crash_detector = crash_detector
        self._client = client
        self._hosts = hosts
        self._codec = codec
        self._authenticator = authenticator
        self._origins = origins
        self._handover = handover
        self._forwarded_runs = forwarded_runs
        self._metrics = metrics
        self._resume_check = resume_check
        self._buffers = BufferPool()

    async def send(
        self, call: Call, placement: LocalPlacement | RemotePlacement, service: str
    ) -> TryOutcome:
        """Send a request to its placement, and stream the answer to the caller.

        Args:
            call: The request.
            placement: Target, or host of another region, to send it to.
            service: Service that the request uses.

        Raises:
            Disconnected: The caller closed its connection.
        """
        # A place may have been found before a pause, or in a queue during one.
        await self._resume_check.wait(call.time_left)
        call.exchange.check_connected()
        call.sends += 1
        call.sent_at.append(monotonic())
        call.written = False
        match placement:
            case LocalPlacement():
                outcome = await self._try_target(call, placement, service)
            case RemotePlacement():
                outcome = await self._try_region(call, placement, service)
        if not isinstance(outcome, NotRun):
            call.runs += 1
            call.arrivals += 1
        else:
            call.written = False
            call.arrivals += outcome.by_target
        call.notes[-1] += f" -> {outcome.reason}"
        if isinstance(outcome, MayHaveRun) and isinstance(placement, LocalPlacement):
            await self._check_whether_ended(call, placement.target.info)
        self._metrics.incr(f"try.{outcome.reason}")
        return outcome

    async def _check_whether_ended(self, call: Call, target: TargetInfo) -> None:
        """Exclude a run whose target has ended, if the limit of runs is reached."""
        if not call.route.repeatable or call.successor is not None:
            # No retry depends on the result, so the caller needn't wait for it.
            await curio.spawn(self._crash_detector.check_crash, target, daemon=True)
            return
        ended = await self._crash_detector.check_crash(target)
        if ended and call.counted_runs >= call.max_runs:
            call.ended_runs += 1
            call.notes[-1] += ", ended"
            self._metrics.incr("try.target_ended")

    async def _try_target(
        self, call: Call, placement: LocalPlacement, service: str
    ) -> TryOutcome:
        target = placement.target
        name = target.info.incarnation
        now = monotonic()
        target.limit.note_sent(now)
        if now < target.cold_until:
            self._cold.note_sent(name, now)
        if is_unresponsive(target, now):
            target.trial_at = now
        call.tried.add(name)
        delivery = Delivery(target, now)
        call.deliveries.append(delivery)
        staleness_ms = round(placement.staleness * 1000)
        call.staleness_ms.append(staleness_ms)
        self._metrics.timing("schedule.known_ms", staleness_ms)
        version = target.info.software_version
        call.notes.append(
            f"{name}@{target.info.address}: {placement.reason}, version {version}"
        )
        run_id = f"{call.head.request_id}.{call.sends}"
        estimates, rank = self._placer.estimates, call.rank(now)
        prompt, source = call.head.prompt, placement.fetch_from
        uncached = target.begin(run_id, prompt, rank, now, placement.cached_tokens)
        watched = self._crash_detector.begin(
            target.info, call.fingerprints, call.suspect, placement.quiet
        )
        if call.suspect:
            target.trials.add(watched)

        def on_progress(events: int, seconds: float) -> None:
            self._crash_detector.record_event(target.info, watched)
            run = target.load.runs.get(run_id)
            if run is None:
                return
            if run.started:
                target.note_events(events, seconds, monotonic())
                return
            first = monotonic()
            target.record_contact(first)
            target.load.note_started(run_id, first)
            elapsed_ms = round((first - now) * 1000)
            before = round(placement.tokens_before)
            measured = FirstToken(name, uncached, elapsed_ms, before)
            estimates.note_first_token(target, measured, first)

        def on_head(verdict: TargetVerdict, answer: ClientAnswer) -> None:
            target.record_read(now)
            delivery.end(monotonic())
            self._record_limit(target, verdict, answer.headers)
            self._record_rest(target, answer)
            if verdict in OWN_VERDICTS:
                self._record_leaving(target, answer)

        def may_send() -> bool:
            if self._resume_check.is_outdated():
                # Nothing speaks against this target.
                call.tried.discard(name)
                return False
            is_leaving = target.said_leaving or target.is_resting(monotonic())
            return self._table.is_open(target) and not is_leaving

        def on_stream(answered: dict[str, str]) -> None:
            self._record_stream(call, StreamOrigin(service, version))

        headers = self._codec.target_headers(
            call.head,
            call.time_left,
            name,
            rank,
            call.events.last_id,
            CopyInstructions(fetch_from=source.info.address if source else ""),
            call.organisation.name if call.organisation is not None else None,
        )
        destination = Destination(
            target.info.address,
            headers,
            wait_past_deadline(call),
            MAX_IDLE_REPEATABLE if call.route.repeatable else MAX_IDLE_ONCE,
        )
        result = TryResult.cancelled
        outcome: TryOutcome | None = None
        try:
            attempt = Try(
                self._client,
                self._codec,
                call,
                on_progress,
                on_head,
                on_stream,
                may_send,
                self._buffers,
            )
            watch = RunWatch(
                attempt,
                head_patience(placement.delay, call.time_left),
                lambda: event_patience(
                    call.longest_gap, target.pace.seconds_per_event(monotonic())
                ),
                lambda: is_unresponsive(target, monotonic()),
                _always_confirmed,
            )
            outcome = await self._run(call, watch, attempt.run(destination))
            _note_progress(call, attempt, outcome)
            result = _result_of(outcome)
            if call.successor is not None:
                result = _result_of_left_run(target, attempt.progress_at)
        finally:
            target.load.end(run_id)
            target.trials.discard(watched)
            if not _may_be_unread(call, outcome):
                delivery.end(monotonic())
            seconds = monotonic() - now
            self._table.note_result(target, result, seconds, monotonic())
            await self._record_end(target.info, watched, outcome)
        match outcome:
            case NotRun(reason="replaced"):
                # The target list is outdated. Until its next update every request
                # placed on this target would be sent there and refused.
                target.record_replacement()
                self._crash_detector.record_replacement(target.info)
            case NotRun(reason="connect_failed"):
                target.record_failed_connection(monotonic())
        if result is TryResult.answered:
            estimates.note_hold(Hold(service, round(seconds * 1000)))
        return outcome

    def _record_stream(self, call: Call, origin: StreamOrigin) -> None:
        """Record where a stream has begun or goes on, before its next event is sent."""
        if call.origin is None:
            call.origin = origin
        if call.route.resumable:
            self._origins.record(call.origin_key, call.origin, forwarded=call.forwarded)

    def _record_limit(
        self, target: TrackedTarget, verdict: TargetVerdict, headers: dict[str, str]
    ) -> None:
        """Record the request limit that an answer names, or that it names none."""
        name = target.info.incarnation
        try:
            rate = self._codec.request_limit(headers)
        except ValueError as exc:
            _log.warning("limit not read", target=name, reason=str(exc))
            return
        if rate is None and verdict is not TargetVerdict.ANSWER:
            # Only the answer to a request proves that there is no limit: what rejects
            # a request may not know of it.
            return
        if rate is not None:
            self._metrics.incr("target.limit_named")
        former = target.limit.rate
        if target.record_limit(rate, monotonic()):
            _log.info("target limit", target=name, rate=rate, former=former)

    def _record_rest(self, target: TrackedTarget, answer: ClientAnswer) -> None:
        """Record that a target wants no requests of this host for a while."""
        name, now = target.info.incarnation, monotonic()
        try:
            seconds = self._codec.requested_rest(answer.status, answer.headers)
        except ValueError as exc:
            _log.warning("rest not read", target=name, reason=str(exc))
            return
        if not seconds:
            return
        self._metrics.incr("target.rest_asked")
        if not target.is_resting(now):
            _log.info("target rests", target=name, seconds=round(seconds, 2))
        target.record_rest(seconds, now)

    def _record_leaving(self, target: TrackedTarget, answer: ClientAnswer) -> None:
        """Record that a target is leaving."""
        if target.said_leaving or not self._codec.says_leaving(answer.headers):
            return
        name = target.info.incarnation
        target.said_leaving = True
        self._crash_detector.record_leaving(target.info)
        self._metrics.incr("target.said_leaving")
        _log.info("target says it leaves", target=name, address=target.info.address)

    async def _record_end(
        self, target: TargetInfo, run: WatchedRun, outcome: TryOutcome | None
    ) -> None:
        match outcome:
            case Answered(status=status, ended_by_close=True):
                confirm = self._crash_detector.confirm_answered
                succeeded = status // 100 == 2
                await curio.spawn(confirm, target, run, succeeded, daemon=True)
            case Answered(status=status):
                succeeded = status // 100 == 2
                self._crash_detector.record_answered(target, run, succeeded)
            case NotRun():
                self._crash_detector.record_not_run(target, run)
            case MayHaveRun() | None:
                self._crash_detector.record_failure(target, run)

    async def _try_region(
        self, call: Call, placement: RemotePlacement, service: str
    ) -> TryOutcome:
        call.tried_hosts.add(placement.host)
        call.notes.append(f"{placement.region} {placement.host}: {placement.reason}")
        delivery = Delivery(None, monotonic())
        call.deliveries.append(delivery)
        run_id = f"{call.head.request_id}.{call.sends}"
        regions = self._placer.regions
        regions.note_forwarded(placement.region, service, run_id, monotonic())
        headers = self._codec.target_headers(
            call.head, call.time_left, "", None, call.events.last_id
        )
        headers |= self._authenticator.organisation_header(call)
        headers[FORWARDED_HEADER] = self._region
        headers[FINGERPRINT_HEADER] = str(call.fingerprints)
        if call.has_permit:
            headers[PERMIT_HEADER] = "yes"
        headers[RUNS_HEADER] = str(call.counted_runs)
        # Limits the runs there to one: if the answer is lost, this host must know how
        # often the request can have run in the other region.
        headers[MAX_RUNS_HEADER] = str(call.counted_runs + 1)
        if placement.lease:
            headers[LEASE_HEADER] = str(placement.lease)
            self._metrics.incr("forward.leased", placement.lease > 0)
        forwarding = self._forwarded_runs.begin(
            HostName(placement.host), lambda: self._handover.lend_run(call)
        )
        headers[SEND_HEADER] = str(forwarding.send)
        destination = Destination(
            placement.address,
            headers,
            wait_past_deadline(call),
            MAX_IDLE_BETWEEN_HOSTS,
        )
        if call.origin is not None:
            headers[ORIGIN_HEADER] = str(call.origin)

        def on_stream(answered: dict[str, str]) -> None:
            origin = StreamOrigin.parse(answered.get(ORIGIN_HEADER, ""))
            if origin is not None:
                self._record_stream(call, origin)

        def record_contact(*_head: object) -> None:
            regions.reachability.record_contact(placement.region, monotonic())

        attempt = Try(
            self._hosts,
            self._codec,
            call,
            _ignore_progress,
            on_head=record_contact,
            on_stream=on_stream,
            buffers=self._buffers,
        )
        watch = RunWatch(
            attempt,
            head_patience(placement.delay, call.time_left),
            lambda: event_patience(call.longest_gap, 0.0),
            _never_unreachable,
            lambda: self._has_lost_contact(attempt, forwarding),
        )
        outcome: TryOutcome | None = None
        try:
            outcome = await self._run(call, watch, attempt.run(destination))
            _note_progress(call, attempt, outcome)
        finally:
            self._forwarded_runs.end(forwarding)
            delivery.end(monotonic())
            # A refused request still counts as in progress there: the region is full.
            if not isinstance(outcome, NotRun):
                regions.record_returned(placement.region, service, run_id)
        match outcome:
            case NotRun():
                _record_not_run(call, placement, outcome, regions)
                kind = "leased" if placement.lease > 0 else "unleased"
                self._metrics.incr(f"forward.{kind}_not_run")
            case Answered(headers=answered):
                _update_runs(call, answered)
            case MayHaveRun():
                # Without the answer it isn't known whether a lent run was used.
                call.runs += call.lent_runs
        call.lent_runs = 0
        return outcome

    async def _has_lost_contact(self, attempt: Try, forwarding: Forwarding) -> bool:
        """Return whether a forwarded request waits for the other host in vain.

        While that host works on the request and has sent on no more than was received,
        its target is silent, which only that host can judge.
        """
        progress = await self._forwarded_runs.progress(forwarding)
        if progress is None:
            return True
        # What was sent on just before the reply may still be on its way, also the end
        # of the answer, after which the other host no longer works on the request.
        await curio.sleep(TRANSFER_MARGIN)
        return not progress.working or attempt.received_events < progress.events

    async def _run(self, call: Call, watch: RunWatch, run: Coroutine) -> TryOutcome:
        """Return the outcome of a run; leave it only for a place that can take over.

        Connections that another partition or a dead host has cut look open, but carry
        nothing: the request would wait until its deadline, although another place could
        still answer in time.
        """
        if not call.route.repeatable:
            return await run
        work = await curio.spawn(run)
        try:
            async with curio.ignore_after(CHECK_INTERVAL):
                await work.wait()
        except BaseException:
            await work.cancel()
            raise
        search = None
        # A run that ends before the first check needs no task that searches.
        if not work.terminated:
            search = await curio.spawn(self._search_successor, call, watch)
            async with curio.TaskGroup([work, search], wait=any):
                pass
        match work.exception:
            case None:
                if isinstance(work.result, Answered):
                    # It may have been answered just as it was to be left.
                    call.successor = None
                return work.result
            case curio.TaskCancelled() if search is not None:
                sign = search.result
                timed_out = sign is Sign.SILENT
                return MayHaveRun(sign.value, timed_out, unread=True)
            case exc:
                raise exc

    async def _search_successor(self, call: Call, watch: RunWatch) -> Sign:
        """Return the sign for which a run is left, once a place can take over."""
        while True:
            sign = watch.due_sign(monotonic())
            if sign is not None:
                try:
                    if await self._hand_over(call, watch):
                        return sign
                except Exception as exc:
                    # The run must not end because the search for its successor fails.
                    _log.exception(
                        "search failed", request=call.head.request_id, reason=repr(exc)
                    )
                watch.note_search(monotonic())
            await curio.sleep(CHECK_INTERVAL)

    async def _hand_over(self, call: Call, watch: RunWatch) -> bool:
        """Claim a place that takes over from a run; False: the run goes on."""
        if not await watch.is_confirmed():
            return False
        successor = await self._handover.find(call, running=True)
        if successor is None or watch.has_progressed():
            return False
        watch.attempt.is_left = self._handover.claim(call, successor)
        return watch.attempt.is_left


def _note_progress(call: Call, attempt: Try, outcome: TryOutcome) -> None:
    """Note what had come of an answer that isn't whole."""
    if isinstance(outcome, MayHaveRun):
        call.notes[-1] += f", {attempt.describe_progress()}"


def _may_be_unread(call: Call, outcome: TryOutcome | None) -> bool:
    """Return whether a target may not have read the request when its try ended."""
    match outcome:
        case None:
            return call.written
        case MayHaveRun(unread=unread):
            return unread
        case _:
            return False


def wait_past_deadline(call: Call) -> float:
    """Return a timeout in seconds that ends after the request's deadline.

    If both ended at the same moment, the caller would receive either 504 for the
    deadline or 502 for an incomplete answer, depending on which timer fired first.
    """
    return max(0.0, call.time_left) + DEADLINE_MARGIN


def _result_of(outcome: TryOutcome) -> TryResult:
    match outcome:
        case Answered(status=status):
            return TryResult.failed if status >= 500 else TryResult.answered
        case NotRun(by_target=True):
            return TryResult.refused_by_target
        case NotRun(reason="withheld"):
            # Nothing was sent, so it says nothing about the target.
            return TryResult.cancelled
        case NotRun():
            return TryResult.failed
        case MayHaveRun(timed_out=True):
            return TryResult.timeout
        case MayHaveRun():
            return TryResult.cut


def _result_of_left_run(target: TrackedTarget, silent_since: float) -> TryResult:
    """Return the result of a run that was left for another place.

    A target that has answered anything since is slow, and works on what was left.
    """
    if target.last_contact_at > silent_since:
        return TryResult.cancelled
    return TryResult.timeout


def _record_not_run(
    call: Call, placement: RemotePlacement, outcome: NotRun, regions: OtherRegions
) -> None:
    """Record that a forwarded request did not run, so that it isn't forwarded again."""
    region, now = placement.region, monotonic()
    match outcome:
        case NotRun(reason="connect_failed", timed_out=timed_out):
            regions.record_unreachable_host(region, placement.host, timed_out, now)
            if timed_out:
                call.unreached_regions.add(region)
        case NotRun(reason="region_refused", retry_after=retry_after):
            call.refused_regions[region] = now + retry_after
            regions.reachability.record_contact(region, now)
        case NotRun(reason="host_refused"):
            regions.reachability.record_contact(region, now)


def _update_runs(call: Call, headers: dict[str, str]) -> None:
    """Update the number of runs from another region's answer, without the last run.

    The header contains all runs so far; `Sender.send` adds the last one. If all runs in
    the other region counted as one, a request with a limit of two that failed twice
    there would run a third time here.
    """
    runs = headers.pop(RUNS_HEADER, "")
    if runs.isdigit():
        call.runs = max(call.runs, int(runs) - 1)


def _never_unreachable() -> bool:
    """Return that a host counts as reachable until a question to it fails.

    The hosts that are reported are a selection, so a missing report says nothing.
    """
    return False


async def _always_confirmed() -> bool:
    """Confirm a sign about a target, which can't be asked about a run."""
    return True


def _ignore_progress(events: int, seconds: float) -> None:
    """Ignore the progress of a forwarded request: the other region measures it."""
