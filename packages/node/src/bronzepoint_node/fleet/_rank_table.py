"""Ranks of requests by the priorities of their organisation and route."""

from collections.abc import Iterable

from msgspec import Struct

LATE_RANKS = 4
"""Ranks added to a request that can no longer meet its objective, where no organisation
has a priority: it queues behind requests of every priority that still can."""
MAX_RANK = 9
"""Least urgent rank that targets distinguish."""
MAX_LEVELS = 9
"""Maximum number of ranks for requests that can meet their objective. At least one is
left for the late ones."""


class RankTable(Struct, frozen=True):
    """Numbers the priorities that a catalogue uses, the most urgent one first.

    The priority of an organisation comes first and that of the route second, so that an
    organisation's urgent requests go before its long ones. Targets distinguish ten
    ranks only, so the pairs that occur are numbered without gaps. If there are too many
    of them, neighbours share a rank.

    Attributes:
        levels: Pairs of both priorities that occur, in order; empty: no organisation
            has a priority, and the route's priority is the rank.
    """

    levels: tuple[tuple[int, int], ...] = ()

    @classmethod
    def of(
        cls, organisations: Iterable[int | None], routes: Iterable[int]
    ) -> "RankTable":
        """Return the table for the priorities of organisations and routes."""
        given = set(organisations)
        by_route = set(routes)
        own = {priority for priority in given if priority is not None}
        if not own:
            return cls()
        pairs = {(priority, route) for priority in own for route in by_route}
        # Requests without an organisation's priority rank by the route's alone.
        pairs |= {(route, route) for route in by_route}
        return cls(tuple(sorted(pairs)))

    def rank(
        self, organisation: int | None, route: int, *, is_late: bool = False
    ) -> int:
        """Return the rank of a request; 0 goes first.

        Args:
            organisation: Priority of its organisation; None: it has none.
            route: Priority of its route.
            is_late: It can no longer meet its objective.
        """
        first = route if organisation is None else organisation
        if not self.levels:
            return first + LATE_RANKS * is_late
        level = sum(pair < (first, route) for pair in self.levels)
        count = len(self.levels)
        if count > MAX_LEVELS:
            level, count = level * MAX_LEVELS // count, MAX_LEVELS
        return min(MAX_RANK, min(level, count - 1) + count * is_late)
