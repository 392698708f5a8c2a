"""Estimates how long a caller had already waited before its request arrived."""

from collections import deque

from bronzepoint_node.fleet import ServedRoute

MAX_DEADLINES = 100
"""Number of a route's most recent deadlines that are kept for comparison."""
USUAL_SHARE = 0.1
"""Share of the kept deadlines above which a value counts as usual: new requests use
one of a few values, whereas each retry specifies the time it has left."""
STEP = 0.02
"""Width, in seconds, of the steps that deadlines are rounded to for comparison."""


class UsualDeadlines:
    """Tracks the deadlines of each route, to tell retries from new requests.

    A caller that retries, after a refusal or the crash of a host, specifies the time it
    has left as the deadline. Its answer can no longer meet the objective, whereas that
    of a new request can.
    """

    def __init__(self) -> None:
        self._newest: dict[str, deque[int]] = {}

    def prior_wait(self, route: ServedRoute, deadline: float) -> float:
        """Return the estimated seconds that the caller of a request has waited before.

        Args:
            route: Route of the request.
            deadline: Seconds for which the caller waits from now on.
        """
        steps = round(deadline / STEP)
        newest = self._newest.setdefault(route.name, deque(maxlen=MAX_DEADLINES))
        newest.append(steps)
        min_count = USUAL_SHARE * len(newest)
        if len(newest) > 1 / USUAL_SHARE and newest.count(steps) > min_count:
            return 0.0
        # The longest value is not used: a single unusual caller would make all others
        # look late.
        longer = sorted(newest)[-max(1, int(min_count))]
        return max(0.0, (longer - steps) * STEP)
