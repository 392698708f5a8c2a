"""Weights of organisations that operators have changed for some time."""

import math
from collections.abc import Callable

MAX_FACTOR = 100.0
"""Largest factor on a weight, and the inverse of the smallest one."""
MAX_SECONDS = 86_400.0
"""Longest time in seconds for which a weight may be changed. A lasting change belongs
into the quotas."""


class RaisedWeights:
    """Factors on the weights of organisations, each with its end.

    They are kept in memory: after a restart, the weights follow from the quotas.

    Args:
        clock: Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._factors: dict[str, tuple[float, float]] = {}

    def set(self, organisation: str, factor: float, seconds: float) -> None:
        """Multiply the weight of an organisation for some time; 1 ends that.

        Raises:
            ValueError: The factor or the time is out of range.
        """
        if not 1 / MAX_FACTOR <= factor <= MAX_FACTOR or math.isnan(factor):
            raise ValueError(
                f"factor {factor:g} is out of range; give one from "
                f"{1 / MAX_FACTOR:g} to {MAX_FACTOR:g}"
            )
        if not 0 < seconds <= MAX_SECONDS:
            raise ValueError(
                f"{seconds:g} s is out of range; give at most {MAX_SECONDS:g} s"
            )
        self._factors[organisation] = factor, self._clock() + seconds

    def factor(self, organisation: str) -> float:
        """Return the present factor on the weight of an organisation."""
        factor, until = self._factors.get(organisation, (1.0, 0.0))
        if factor != 1.0 and self._clock() >= until:
            del self._factors[organisation]
            return 1.0
        return factor
