"""Cost of a request: the time of a target that it takes, without any I/O.

Addresses shares that are counted in requests: a long prompt takes many times as much
of a target as a short one.
"""

import math

from ._prompt import Prompt
from ._service_estimates import ServiceEstimates
from ._target_table import TargetTable

INITIAL_STEP = 0.006
"""Seconds of one decoding step, until streams have been measured."""
REFRESH_INTERVAL = 1.0
"""Seconds for which the step time of a service is kept."""
MIN_COST = 1e-4
"""Smallest cost of a request, in target seconds."""


class RequestCosts:
    """Costs of requests in target seconds: the seconds that one target works on them.

    Args:
        table: Targets of the region.
        estimates: Measured durations and reading rates.
    """

    def __init__(self, table: TargetTable, estimates: ServiceEstimates) -> None:
        self._table = table
        self._estimates = estimates
        self._steps: dict[str, tuple[float, float]] = {}

    def cost(self, service: str, prompt: Prompt | None, now: float) -> float:
        """Return the target seconds that a request takes.

        Shared parts aren't counted: they are read once for many requests.

        Args:
            service: Its service.
            prompt: Its prompt; None if it has none.
            now: Monotonic seconds.
        """
        known = self._table.service(service)
        engine = known.engine if known is not None else None
        if prompt is None or engine is None:
            return max(MIN_COST, self._estimates.times(service).hold)
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        written = prompt.expected_output or prompt.max_output
        reading = own / self._estimates.rate(service).tokens_per_second
        writing = written * self._step(service, now) / max(1, engine.slots)
        return max(MIN_COST, reading + writing)

    def seconds_to_first_token(self, service: str, prompt: Prompt) -> float:
        """Return the seconds in which an idle target reads a prompt's own part."""
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens
        return own / self._estimates.rate(service).tokens_per_second

    def seconds_to_write(self, service: str, prompt: Prompt, now: float) -> float:
        """Return the seconds in which a target writes the answer to a prompt."""
        written = prompt.expected_output or prompt.max_output
        return written * self._step(service, now)

    def _step(self, service: str, now: float) -> float:
        """Return the seconds of one decoding step, in which each stream gets a token.

        The shortest measured time counts: reading prompts between the steps makes them
        longer, and is counted with the prompts.
        """
        at, step = self._steps.get(service, (-math.inf, INITIAL_STEP))
        if now - at < REFRESH_INTERVAL:
            return step
        measured = []
        for target in self._table.of_service(service):
            seconds = target.pace.seconds_per_event(now)
            if seconds and target.engine is not None and target.engine.event_tokens:
                measured.append(seconds / target.engine.event_tokens)
        step = min([*measured, INITIAL_STEP])
        self._steps[service] = now, step
        return step
