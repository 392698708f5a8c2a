"""Searches of this region on behalf of hosts of other regions."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from bronzepoint_common.clock import monotonic

from ._lookup import Found, Lookup, Unfound

RELAY_WAIT = 0.05
"""Seconds for which a query of another region waits for the search. Messages of one
host are handled in turn, so a longer wait would delay the ones behind it."""
SEARCH_RETENTION = 5.0
"""Seconds after its start for which a search may answer queries."""
MAX_SEARCHES = 256
"""Maximum number of searches that run, or whose results are kept."""


@dataclass
class _Search:
    """A search, with the task that asks at the moment and its start."""

    lookup: Lookup
    began: float
    task: curio.Task | None = None


class RelayedSearches:
    """Searches that may take longer than the query that began them.

    The host that asks is told at first that there is no answer yet, and asks again.
    Then only hosts that have not answered are asked again.

    Args:
        ask: Asks the hosts of this region that a lookup has left.
    """

    def __init__(self, ask: Callable[[Lookup], Awaitable[Found | Unfound]]) -> None:
        self._ask = ask
        self._searches: OrderedDict[int, _Search] = OrderedDict()

    async def close(self) -> None:
        """Cancel the searches that still run."""
        while self._searches:
            await self._drop(next(iter(self._searches)))

    async def result(self, key: int) -> Found | Unfound:
        """Return the result of the search for a key, and start it if it isn't running.

        Returns:
            Found or Unfound: `Unfound.UNANSWERED` if the search goes on.
        """
        search = await self._current(key)
        if search.task is None:
            search.task = await curio.spawn(self._ask, search.lookup, daemon=True)
        task = search.task
        async with curio.ignore_after(RELAY_WAIT):
            await task.wait()
        if not task.terminated:
            return Unfound.UNANSWERED
        if search.task is task:
            search.task = None
        result = await task.join()
        if result is not Unfound.UNANSWERED and self._searches.get(key) is search:
            del self._searches[key]
        return result

    async def _current(self, key: int) -> _Search:
        now = monotonic()
        search = self._searches.get(key)
        if search is not None:
            if now - search.began <= SEARCH_RETENTION:
                return search
            await self._drop(key)
        elif len(self._searches) >= MAX_SEARCHES:
            await self._drop(next(iter(self._searches)))
        search = self._searches[key] = _Search(Lookup(key), now)
        return search

    async def _drop(self, key: int) -> None:
        search = self._searches.pop(key)
        if search.task is not None:
            await search.task.cancel()
