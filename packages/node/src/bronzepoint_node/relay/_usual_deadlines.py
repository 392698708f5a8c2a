"""How much of its time a request has used up before it came here."""

from collections import deque

from bronzepoint_node.fleet import ServedRoute

KEPT = 100
"""Newest deadlines of a route that are compared."""
USUAL_SHARE = 0.1
"""Share of them from which on one is usual: callers that begin name one of a few, and
those that come again each name what is left to them."""
STEP = 0.02
"""Seconds within which two deadlines count as the same."""


class UsualDeadlines:
    """Remembers how long the callers of each route wait when they begin.

    A caller that comes again, after a refusal or from a host that was killed, names
    what is left of its time. Its answer can't be in time any more, but that of one that
    has just begun can.
    """

    def __init__(self) -> None:
        self._newest: dict[str, deque[int]] = {}

    def spent(self, route: ServedRoute, deadline: float) -> float:
        """Return the seconds that a request has used before.

        Args:
            route: Its route.
            deadline: Seconds for which its caller waits from now on.
        """
        steps = round(deadline / STEP)
        newest = self._newest.setdefault(route.name, deque(maxlen=KEPT))
        newest.append(steps)
        least = USUAL_SHARE * len(newest)
        if len(newest) > 1 / USUAL_SHARE and newest.count(steps) > least:
            return 0.0
        # Not the longest of all: one odd caller would make all others look late.
        longer = sorted(newest)[-max(1, int(least))]
        return max(0.0, (longer - steps) * STEP)
