"""One request on its way, and how its tries end."""

from dataclasses import dataclass, field
from typing import NamedTuple

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Exchange
from bronzepoint_node.fleet import Organisation, ServedRoute
from bronzepoint_node.quarantine import RequestNames
from bronzepoint_node.quota import Charge

from ._codec import CallerHead
from ._events import EventSplitter
from ._host_headers import RUNS_HEADER


@dataclass(frozen=True)
class NotRun:
    """The request certainly did not run.

    Attributes:
        reason: For the log and the counters.
        by_target: True where a target received it and turned it away.
        retry_after: Seconds until it may be tried again; 0: not said.
    """

    reason: str
    by_target: bool = False
    retry_after: float = 0.0


@dataclass(frozen=True)
class MayHaveRun:
    """No whole answer came, and the request may have run."""

    reason: str
    timed_out: bool = False


@dataclass(frozen=True)
class Answered:
    """A whole answer came.

    Attributes:
        streamed: True where it was passed on already.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    streamed: bool = False

    @property
    def reason(self) -> str:
        """How the try ended, in a word, as the other outcomes have it."""
        return "answered"


LATE_RANKS = 4
"""Ranks by which a request is put back that can't be answered in time any more: behind
all kinds that can."""
TryOutcome = NotRun | MayHaveRun | Answered


class Progress(NamedTuple):
    """How far a request has got.

    Attributes:
        sends: Times it was sent to a target or to another region.
        hosts: Hosts of other regions that it was forwarded to.
        arrivals: Times that a target received it, as far as is known.
        runs: Tries that ended without a proof that the request did not run.
    """

    sends: int
    hosts: int
    arrivals: int
    runs: int


@dataclass
class Call:
    """One caller's request.

    Attributes:
        exchange: The caller's connection.
        head: What the request says.
        route: The route that it takes.
        body: Its whole body.
        arrived: When it was read.
        until: When its final answer is due.
        forwarded: Another region sent it.
        events: What was passed on of its stream.
        spent: Seconds that its caller had waited before it came here.
        names: What is asked; the same when its caller asks again.
        suspect: It was beside several crashes of targets.
        has_permit: A host of the core has permitted to try it all the same.
        organisation: Who asks; None: nobody who is known.
        version: Catalogue by which that was looked up last.
        charge: What it has used of its organisation's quota; None: nothing limits it.
        tried: Targets that it was sent to.
        tried_hosts: Hosts of other regions that it was forwarded to.
        looks: Times that a place for it was looked for.
        sends: Times it was sent to a target or to another region.
        first_event_at: When the first event was passed on; 0: none yet.
        last_event_at: When the newest one was.
        longest_gap: Longest time between two of them.
        arrivals: Times that a target received it, as far as is known.
        written: A byte of the try in progress may have left this host.
        runs: Tries that ended without a proof that the request did not run.
        told_runs: Those of them that the host that forwarded it has told of.
        granted_runs: Runs up to which the host that forwarded it allows; 0: it didn't
            say, or no host forwarded it.
        ended_runs: Those of them whose target has ended since.
        last_outcome: How the last try ended.
        notes: How each try ended, for the log.
        known_ms: For each try at a target of the own region, the milliseconds that
            what its choice went by may have been old.
    """

    exchange: Exchange
    head: CallerHead
    route: ServedRoute
    body: bytes
    arrived: float
    until: float
    forwarded: bool
    events: EventSplitter
    tried: set[str] = field(default_factory=set)
    tried_hosts: set[str] = field(default_factory=set)
    looks: int = 0
    sends: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    arrivals: int = 0
    written: bool = False
    runs: int = 0
    told_runs: int = 0
    granted_runs: int = 0
    ended_runs: int = 0
    last_outcome: TryOutcome | None = None
    notes: list[str] = field(default_factory=list)
    known_ms: list[int] = field(default_factory=list)
    spent: float = 0.0
    names: RequestNames = RequestNames()
    suspect: bool = False
    has_permit: bool = False
    organisation: Organisation | None = None
    version: int = -1
    charge: Charge | None = None

    def progress(self) -> Progress:
        """Return how far the request has got."""
        hosts = len(self.tried_hosts)
        return Progress(self.sends, hosts, self.arrivals, self.runs)

    def note_events(self, now: float) -> None:
        """Count events that are passed on."""
        if not self.first_event_at:
            self.first_event_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now

    def note_written(self) -> None:
        """Count that the request is about to leave this host."""
        self.written = True

    def rank(self, now: float) -> int:
        """Return how urgent it is at targets and in line; 0 goes first.

        An answer that is late already earns less than one that can still be in time.
        After a kill of everything those that come again stand in one crowd with those
        that have just begun; served in order of arrival, all of them are late.
        """
        waited = self.spent + now - self.arrived
        is_late = not self.first_event_at and waited > self.route.objective
        return self.priority + LATE_RANKS * is_late

    @property
    def priority(self) -> int:
        """Return its rank while it is in time: its organisation's goes first."""
        asking = self.organisation
        if asking is None or asking.priority is None:
            return self.route.priority
        return asking.priority

    @property
    def may_have_run(self) -> bool:
        """Tell whether there is no proof that this host had it run nowhere."""
        return self.written or self.has_run

    @property
    def has_run(self) -> bool:
        """Tell whether a try of this host ended without such a proof.

        Of its runs before it was forwarded the host that did so knows itself.
        """
        return self.runs > self.told_runs

    def answer_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return an answer's headers; another region is told how often it ran here."""
        if not self.forwarded:
            return headers
        return {**headers, RUNS_HEADER: str(self.counted_runs)}

    @property
    def counted_runs(self) -> int:
        """Runs that count against the route's bound.

        It bounds how many targets work for one request. One that has crashed works for
        nobody: where it counted, a stream that two crashes had cut was given up, though
        others could have gone on with it.
        """
        return self.runs - self.ended_runs

    @property
    def most_runs(self) -> int:
        """Runs that this host may bring the request to."""
        if self.granted_runs:
            return min(self.granted_runs, self.route.max_attempts)
        return self.route.max_attempts

    @property
    def may_repeat(self) -> bool:
        """Tell whether the request may be sent again, with all that ran so far."""
        if not self.route.repeatable or self.counted_runs >= self.most_runs:
            return False
        if self.exchange.started and self.events.last_id is None:
            return False
        return self.left > 0

    @property
    def may_repeat_after(self) -> bool:
        """Tell whether the request may be sent again after the try in progress."""
        return self.route.repeatable and self.counted_runs + 1 < self.most_runs

    def is_flowing(self, now: float, pause: float) -> bool:
        """Tell whether an event came within ``pause`` seconds."""
        return now - self.last_event_at < pause

    @property
    def left(self) -> float:
        """Seconds until its final answer is due."""
        return self.until - monotonic()
