"""State of one request in progress, and the outcomes of its tries."""

from dataclasses import dataclass, field
from typing import NamedTuple

from bronzepoint_common.clock import monotonic
from bronzepoint_common.events import EventSplitter
from bronzepoint_common.http import Exchange
from bronzepoint_node.fleet import Organisation, RankTable, RouteKind, ServedRoute
from bronzepoint_node.forwarded_runs import ForwardedSend
from bronzepoint_node.placement import select_service
from bronzepoint_node.quarantine import RequestFingerprints
from bronzepoint_node.quota import Charge
from bronzepoint_node.retries import Delivery
from bronzepoint_node.stream_origins import StreamOrigin, origin_key
from bronzepoint_schema.ids import RegionName

from ._codec import CallerHead
from ._host_headers import ARRIVED_HEADER, ORIGIN_HEADER, RUNS_HEADER
from ._successor import Successor


@dataclass(frozen=True)
class NotRun:
    """The try failed and the request certainly did not run.

    Attributes:
        reason: Reason in the log and the metrics.
        by_target: True if a target received the request and rejected it.
        retry_after: Seconds until the request may be retried; 0: not specified.
        timed_out: Nothing answered the attempt to connect.
    """

    reason: str
    by_target: bool = False
    retry_after: float = 0.0
    timed_out: bool = False


@dataclass(frozen=True)
class MayHaveRun:
    """No complete answer arrived, and the request may have run.

    Attributes:
        reason: Reason in the log and the metrics.
        timed_out: The target did not answer in time.
        unread: The target may not have read the request yet.
    """

    reason: str
    timed_out: bool = False
    unread: bool = False


@dataclass(frozen=True)
class Answered:
    """A complete answer arrived.

    Attributes:
        status: HTTP status.
        headers: Headers of the answer.
        body: Body of the answer; empty if it was streamed.
        streamed: True if the answer has already been sent to the caller.
        ended_by_close: True if only the end of the connection marked its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    streamed: bool = False
    ended_by_close: bool = False

    @property
    def reason(self) -> str:
        """Reason in the log and the metrics, as for the other outcomes."""
        return "answered"


TryOutcome = NotRun | MayHaveRun | Answered


class Progress(NamedTuple):
    """Snapshot of a request's counters.

    Attributes:
        sends: Times it was sent to a target or to another region.
        hosts: Number of hosts of other regions that it was forwarded to.
        arrivals: Times that a target is known to have received it.
        runs: Tries that ended without proof that the request did not run.
    """

    sends: int
    hosts: int
    arrivals: int
    runs: int


@dataclass
class Call:
    """State of one caller's request.

    All times are monotonic seconds.

    Attributes:
        exchange: Connection to the caller.
        head: Parsed headers of the request.
        route: Route that the request matched.
        body: Complete body of the request.
        received_at: Time at which the request began to be read.
        deadline_at: Time at which the final answer is due.
        forwarded: True if a host of another region forwarded the request.
        events: Splitter of the stream that is sent to the caller.
        origin: Target service and version that began the stream, also in an earlier
            attempt of the caller; None: it hasn't begun, or that isn't known.
        is_origin_unknown: True if no host that was asked has known the origin.
        prior_wait: Estimated seconds that the caller had waited before this request.
        fingerprints: Fingerprints of the request, the same when it is repeated.
        suspect: True if several targets crashed while it was in progress there.
        has_permit: True if a core host has permitted a trial of this suspect request.
        organisation: Organisation of the caller; None: unknown caller.
        version: Version of the catalogue that the organisation was last looked up in.
        ranks: Ranks by that catalogue.
        charge: Charge to the organisation's quota; None: no quota applies.
        tried: Incarnations of the targets that it was sent to.
        tried_hosts: Hosts of other regions that it was forwarded to.
        refused_regions: When each region that has refused it expects to have free
            capacity, in monotonic seconds.
        unreached_regions: Regions in which a connection to a host timed out.
        lease: Lease under which another region has forwarded it; 0: none; -2: that
            region may not serve it.
        placement_requests: Number of times a placement was requested for it.
        sends: Times it was sent to a target or to another region.
        sent_events: Number of events written to the caller's connection.
        first_event_at: Time at which the first event was sent on; 0: none yet.
        last_event_at: Time at which the latest event was sent on.
        longest_gap: Longest time between two consecutive events, in seconds.
        arrivals: Times that a target is known to have received it.
        retries: Sends that were taken from the retry budget of this host.
        written: True if a byte of the current try may have left this host.
        runs: Tries that ended without proof that the request did not run.
        reported_runs: The part of ``runs`` that the forwarding host reported.
        granted_runs: Limit of ``runs`` set by the forwarding host; 0: not
            specified, or not forwarded.
        lent_runs: Further runs lent to the host that the current try forwards to.
        send: Send by which another host has forwarded it; None: not forwarded.
        forecast: Seconds until there is room for it, by the latest forecast; None:
            none was made.
        share: Share of its organisation in what its service has started recently;
            None: unknown.
        successor: Place that takes it over from the run that was just left.
        ended_runs: The part of ``runs`` whose target process has ended since.
        last_outcome: Outcome of the last try.
        notes: Description of each try, for the log.
        sent_at: Time at which each try began.
        deliveries: Its sends, each with what is known of its arrival.
        staleness_ms: For each try in the own region, the maximum age in
            milliseconds of the load information that the target was chosen by.
    """

    exchange: Exchange
    head: CallerHead
    route: ServedRoute
    body: bytes
    received_at: float
    deadline_at: float
    forwarded: bool
    events: EventSplitter
    origin: StreamOrigin | None = None
    is_origin_unknown: bool = False
    tried: set[str] = field(default_factory=set)
    tried_hosts: set[str] = field(default_factory=set)
    refused_regions: dict[RegionName, float] = field(default_factory=dict)
    unreached_regions: set[RegionName] = field(default_factory=set)
    lease: int = 0
    placement_requests: int = 0
    sends: int = 0
    sent_events: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    arrivals: int = 0
    retries: int = 0
    written: bool = False
    runs: int = 0
    reported_runs: int = 0
    granted_runs: int = 0
    lent_runs: int = 0
    send: ForwardedSend | None = None
    forecast: float | None = None
    share: float | None = None
    successor: Successor | None = None
    ended_runs: int = 0
    last_outcome: TryOutcome | None = None
    notes: list[str] = field(default_factory=list)
    sent_at: list[float] = field(default_factory=list)
    deliveries: list[Delivery] = field(default_factory=list)
    staleness_ms: list[int] = field(default_factory=list)
    prior_wait: float = 0.0
    fingerprints: RequestFingerprints = RequestFingerprints()
    suspect: bool = False
    has_permit: bool = False
    organisation: Organisation | None = None
    version: int = -1
    ranks: RankTable = RankTable()
    charge: Charge | None = None

    @property
    def attempt(self) -> str:
        """Id of the caller's attempt that brought the first event, or may bring it."""
        return self.head.resumes or self.head.request_id

    @property
    def names_attempt(self) -> bool:
        """Whether the caller names the attempt that brought the first event."""
        return bool(self.head.resumes)

    @property
    def service(self) -> str:
        """Service that serves the request, the same when its stream is resumed."""
        if self.origin is not None:
            return self.origin.service
        return select_service(self.route, self.attempt)

    @property
    def is_resumed(self) -> bool:
        """Whether the caller has events of the stream already."""
        if self.route.kind is not RouteKind.STREAM:
            return False
        return self.head.last_event is not None or self.exchange.started

    @property
    def origin_key(self) -> int:
        """Key by which hosts know where the stream began."""
        path = self.exchange.request.raw_path
        return origin_key(self.head.host, path, self.attempt)

    def identify_parts(self) -> None:
        """Add the fingerprints of the prompt's shared parts, for the service used."""
        prompt = self.head.prompt
        if prompt is not None:
            names = [part.name for part in prompt.parts]
            self.fingerprints = self.fingerprints.with_parts(self.service, names)

    def progress(self) -> Progress:
        """Return the current counters of the request."""
        hosts = len(self.tried_hosts)
        return Progress(self.sends, hosts, self.arrivals, self.runs)

    def record_events(self, now: float) -> None:
        """Record that events are sent on to the caller at ``now``."""
        if not self.first_event_at:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now

    def record_written(self) -> None:
        """Record that bytes of the request may leave this host from now on."""
        self.written = True

    def rank(self, now: float) -> int:
        """Return the rank of the request in queues, here and at targets; 0 goes first.

        Requests that have missed their objective rank behind those that can still meet
        it, since a late answer is worth less. After a kill of all processes, retried
        requests arrive together with new ones; served in order of arrival, all of them
        would be late.
        """
        waited = self.prior_wait + now - self.received_at
        is_late = not self.first_event_at and waited > self.route.objective
        return self._rank(is_late=is_late)

    @property
    def priority(self) -> int:
        """Rank while not late, by the priorities of organisation and route."""
        return self._rank(is_late=False)

    def _rank(self, *, is_late: bool) -> int:
        organisation = self.organisation
        own = organisation.priority if organisation is not None else None
        return self.ranks.rank(own, self.route.priority, is_late=is_late)

    @property
    def may_have_run(self) -> bool:
        """Whether a try of this host, finished or current, may have run the request."""
        return self.written or self.has_run

    @property
    def has_run(self) -> bool:
        """Whether a finished try of this host may have run the request.

        Runs before the request was forwarded are excluded: the forwarding host already
        counts them.
        """
        return self.runs > self.reported_runs

    def answer_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return an answer's headers, with the number of runs for a forwarding host."""
        if not self.forwarded:
            return headers
        return {**headers, RUNS_HEADER: str(self.counted_runs)}

    def stream_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return a stream's headers, with its origin for a forwarding host only."""
        found = {k: v for k, v in headers.items() if k != ORIGIN_HEADER}
        if self.forwarded and self.origin is not None:
            found[ORIGIN_HEADER] = str(self.origin)
        return found

    @property
    def refusal_headers(self) -> dict[str, str]:
        """Headers of a refusal for a forwarding host."""
        return {ARRIVED_HEADER: "yes"} if self.forwarded and self.arrivals else {}

    @property
    def counted_runs(self) -> int:
        """Runs that count against the route's limit.

        The limit bounds how many targets work on one request at once. Runs on targets
        that have ended are excluded: counting them gave up streams that two crashes had
        interrupted, although another target could have resumed them.
        """
        return self.runs - self.ended_runs

    def may_still_arrive(self, now: float) -> bool:
        """Return whether a target may read the request from now on."""
        return any(delivery.is_pending(now) for delivery in self.deliveries)

    @property
    def max_runs(self) -> int:
        """Limit of runs for this request on this host."""
        if self.granted_runs:
            return min(self.granted_runs, self.route.max_attempts)
        return self.route.max_attempts

    @property
    def may_repeat(self) -> bool:
        """Whether the request may be sent again, given its runs so far."""
        return self.counted_runs < self.max_runs and self.may_go_on

    @property
    def may_go_on(self) -> bool:
        """Whether another run may bring the answer, or the rest of it."""
        if not self.route.repeatable or self.time_left <= 0:
            return False
        return not self.exchange.started or self.events.last_id is not None

    @property
    def may_repeat_after_this(self) -> bool:
        """Whether the request may be sent again after the current try."""
        current = 1 + self.lent_runs
        return self.route.repeatable and self.counted_runs + current < self.max_runs

    @property
    def time_left(self) -> float:
        """Seconds until the final answer is due; negative after that."""
        return self.deadline_at - monotonic()
