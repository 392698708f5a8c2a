"""Estimates of how long the requests of each service take."""

from bronzepoint_node.policy import ServiceTimes
from bronzepoint_schema.generated.target_loads import FirstToken, Hold
from bronzepoint_schema.ids import TargetName

from ._reading_rate import ReadingRate
from ._reading_share import StreamMix
from ._tracked_target import TrackedTarget

INITIAL_SECONDS_PER_TOKEN = 1 / 35_000
"""Seconds to read a prompt token, until it has been measured."""
MAX_TOKENS_BEFORE = 500
"""Prompt tokens queued ahead of a request up to which its time to the first token
counts for the usual times of its service. For the speed of its target, more tokens may
be queued if its own are even more."""
MAX_UNREPORTED = 200
"""Measurements kept until they are reported; the oldest are dropped first."""


class ServiceEstimates:
    """Running estimates for each service, learned from the requests sent to it.

    Attributes:
        first_tokens: Times to the first token measured by this host, and not reported
            yet.
        holds: Durations of requests measured by this host, and not reported yet.
        held_by_reading: Choices without a target because all targets that could serve
            the request in time spent too much of it on reading.
    """

    def __init__(self) -> None:
        self.first_tokens: list[FirstToken] = []
        self.holds: list[Hold] = []
        self.held_by_reading = 0
        self._times: dict[str, ServiceTimes] = {}
        self._rates: dict[str, ReadingRate] = {}
        self._mixes: dict[str, StreamMix] = {}

    def times(self, service: str) -> ServiceTimes:
        """Return the duration estimates of a service."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = ServiceTimes(
                per_token=INITIAL_SECONDS_PER_TOKEN
            )
        return times

    def rate(self, service: str) -> ReadingRate:
        """Return the rate at which the engines of a service read prompts."""
        rate = self._rates.get(service)
        if rate is None:
            rate = self._rates[service] = ReadingRate()
        return rate

    def mix(self, service: str) -> StreamMix:
        """Return the sizes of the streams of a service."""
        mix = self._mixes.get(service)
        if mix is None:
            mix = self._mixes[service] = StreamMix()
        return mix

    def note_first_token(
        self, target: TrackedTarget, measured: FirstToken, now: float
    ) -> None:
        """Record the time to the first token of a request of this host."""
        self.learn_first_token(target, measured, now)
        self.first_tokens.append(measured)
        del self.first_tokens[:-MAX_UNREPORTED]

    def learn_first_token(
        self, target: TrackedTarget, measured: FirstToken, now: float
    ) -> None:
        """Apply the time to the first token of a request of any host."""
        if measured.before >= max(MAX_TOKENS_BEFORE, measured.tokens):
            return
        service, seconds = target.info.service, measured.ms / 1000
        times, speed = self.times(service), target.speed
        if target.engine is None:
            # Answers within milliseconds measure the connection rather than the target,
            # so only a target that takes twice as long counts as slow.
            name = TargetName(target.info.incarnation)
            times.add_first_token(name, seconds, measured.tokens, now)
            return
        expected = max(1e-4, times.first_token(measured.tokens + measured.before))
        speed.reading.add(seconds / expected, now)
        if measured.before >= MAX_TOKENS_BEFORE:
            return
        usual = seconds / speed.reading_factor
        times.fit(measured.tokens, usual)
        self.rate(service).add(measured.tokens, usual, measured.before)

    def note_hold(self, measured: Hold) -> None:
        """Record how long a request of this host took."""
        self.learn_hold(measured)
        self.holds.append(measured)
        del self.holds[:-MAX_UNREPORTED]

    def learn_hold(self, measured: Hold) -> None:
        """Apply how long a request of any host took."""
        self.times(measured.service).add_hold(measured.ms / 1000)
