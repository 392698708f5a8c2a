"""How long the requests of each service take."""

from bronzepoint_node.policy import ServiceTimes
from bronzepoint_schema.generated.target_loads import FirstToken, Hold
from bronzepoint_schema.ids import TargetName

from ._reading_rate import ReadingRate

ENGINE_PER_TOKEN = 1 / 35_000
"""Seconds to read a prompt token until it is measured."""
MOST_BEFORE = 500
"""Prompt tokens before a request up to which its time says how fast a target is."""
MOST_UNTOLD = 200
"""Measurements kept for the host that is told of them; the newest go first."""


class Speeds:
    """Running estimates for each service; what is sent there teaches them.

    Attributes:
        first_tokens: Measured by this host, and not told yet.
        holds: The same.
    """

    def __init__(self) -> None:
        self.first_tokens: list[FirstToken] = []
        self.holds: list[Hold] = []
        self._times: dict[str, ServiceTimes] = {}
        self._rates: dict[str, ReadingRate] = {}

    def times(self, service: str) -> ServiceTimes:
        """Return what is known of a service's durations."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = ServiceTimes(per_token=ENGINE_PER_TOKEN)
        return times

    def rate(self, service: str) -> ReadingRate:
        """Return how fast the engines of a service read prompts."""
        return self._rates.setdefault(service, ReadingRate())

    def note_first_token(self, service: str, measured: FirstToken, now: float) -> None:
        """Learn from the time to the first token of one of this host's requests."""
        self.learn_first_token(service, measured, now)
        self.first_tokens.append(measured)
        del self.first_tokens[:-MOST_UNTOLD]

    def learn_first_token(self, service: str, measured: FirstToken, now: float) -> None:
        """Learn from the time to the first token of any host's request."""
        if measured.before >= MOST_BEFORE:
            return
        seconds = measured.ms / 1000
        target = TargetName(measured.incarnation)
        self.times(service).add_first_token(target, seconds, measured.tokens, now)
        self.rate(service).add(measured.tokens, seconds, measured.before)

    def note_hold(self, measured: Hold) -> None:
        """Learn from how long one of this host's requests took."""
        self.learn_hold(measured)
        self.holds.append(measured)
        del self.holds[:-MOST_UNTOLD]

    def learn_hold(self, measured: Hold) -> None:
        """Learn from how long any host's request took."""
        self.times(measured.service).add_hold(measured.ms / 1000)
