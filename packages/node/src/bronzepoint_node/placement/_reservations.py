"""Grants to other hosts that their own load reports do not include yet."""

from collections.abc import Iterable

from bronzepoint_schema.ids import HostName

from ._engine_load import RESERVATION_EXPIRY, OwnRun
from ._prompt import Prompt
from ._tracked_target import TrackedTarget


class Reservations:
    """Index of the granted requests by host and query number.

    It makes finding the target of a grant independent of the number of targets.
    """

    def __init__(self) -> None:
        self._targets: dict[tuple[HostName, int], tuple[float, TrackedTarget]] = {}

    def add(
        self,
        host: HostName,
        number: int,
        target: TrackedTarget,
        prompt: Prompt | None,
        run: OwnRun,
    ) -> None:
        """Record a request that a host was granted at a target.

        Args:
            host: That host.
            number: Number of its query.
            target: The target.
            prompt: The request's prompt; None if it has none.
            run: The request.
        """
        target.reserve(host, number, prompt, run)
        self._forget_before(run.sent_at - RESERVATION_EXPIRY)
        self._targets[host, number] = (run.sent_at, target)

    def settle(self, host: HostName, numbers: Iterable[int]) -> None:
        """Remove grants that the host's own load report now includes."""
        for number in numbers:
            _, target = self._targets.pop((host, number), (0.0, None))
            if target is not None:
                target.load.settle(host, [number])

    def _forget_before(self, moment: float) -> None:
        """Drop grants that have expired; they are ordered by time."""
        while self._targets:
            first = next(iter(self._targets))
            if self._targets[first][0] >= moment:
                return
            del self._targets[first]
