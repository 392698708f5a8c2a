"""Metrics of the scheduler's queue, by organisation and route."""

import re

from bronzepoint_common.metrics import Metrics

from ._choice import LocalPlacement, LocalResult, NoLocalTarget
from ._local_request import LocalPlacementRequest

MAX_NAMES = 200
"""Maximum number of pairs of organisation and route that have metrics of their own. All
further ones are counted together: each metric takes memory and a line of the page."""
OTHER = "other.other"
NO_ORGANISATION = "none"


class QueueMetrics:
    """Counts waiting, granted and refused requests by organisation and route.

    Requests of hosts that don't name the route aren't counted.

    Args:
        metrics: Counters; None: nothing is counted.
    """

    def __init__(self, metrics: Metrics | None) -> None:
        self._metrics = metrics
        self._names: dict[tuple[str, str], str] = {}
        self._waiting: dict[str, int] = {}

    def note_result(self, request: LocalPlacementRequest, found: LocalResult) -> None:
        """Count a request that was granted a target or refused."""
        match found:
            case LocalPlacement():
                self._count("granted", request)
            case NoLocalTarget(late=True):
                self._count("refused_late", request)
            case NoLocalTarget(crowded=True):
                self._count("refused_crowded", request)

    def note_waiting(self, request: LocalPlacementRequest, change: int) -> None:
        """Record that a request joins the queue (1) or leaves it (-1)."""
        if self._metrics is None or not request.route:
            return
        name = self._name(request)
        self._waiting[name] = self._waiting.get(name, 0) + change
        self._metrics.gauge(f"queue.waiting.{name}", self._waiting[name])

    def _count(self, what: str, request: LocalPlacementRequest) -> None:
        if self._metrics is not None and request.route:
            self._metrics.incr(f"queue.{what}.{self._name(request)}")

    def _name(self, request: LocalPlacementRequest) -> str:
        key = request.organisation, request.route
        name = self._names.get(key)
        if name is None:
            if len(self._names) >= MAX_NAMES:
                return OTHER
            organisation = _plain(request.organisation) or NO_ORGANISATION
            name = self._names[key] = f"{organisation}.{_plain(request.route)}"
        return name


def _plain(text: str) -> str:
    """Return a name with the characters only that metrics may have."""
    return re.sub(r"[^A-Za-z0-9_]", "_", text)
