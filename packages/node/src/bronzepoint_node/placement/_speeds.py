"""How long the requests of each service take."""

from bronzepoint_node.policy import ServiceTimes

from ._reading_rate import ReadingRate

ENGINE_PER_TOKEN = 1 / 35_000
"""Seconds to read a prompt token until it is measured."""


class Speeds:
    """Running estimates for each service; what is sent there teaches them."""

    def __init__(self) -> None:
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
