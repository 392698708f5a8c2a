"""Searches of this region on behalf of hosts of other regions."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable

import curio

from ._lookup import Found, Unfound

RELAY_WAIT = 0.05
"""Seconds for which a query of another region waits for the search. Messages of one
host are handled in turn, so a longer wait would delay the ones behind it."""
MAX_SEARCHES = 256
"""Maximum number of searches that run, or whose results are kept."""


class RelayedSearches:
    """Searches that may take longer than the query that began them.

    The host that asks is told at first that there is no answer yet, and asks again.

    Args:
        search: Asks the hosts of this region where the stream of a key began.
    """

    def __init__(self, search: Callable[[int], Awaitable[Found | Unfound]]) -> None:
        self._search = search
        self._tasks: OrderedDict[int, curio.Task] = OrderedDict()

    async def close(self) -> None:
        """Cancel the searches that still run."""
        while self._tasks:
            await self._tasks.popitem()[1].cancel()

    async def result(self, key: int) -> Found | Unfound:
        """Return the result of the search for a key, and start it if it isn't running.

        Returns:
            Found or Unfound: `Unfound.UNANSWERED` if the search goes on.
        """
        task = self._tasks.get(key)
        if task is None:
            if len(self._tasks) >= MAX_SEARCHES:
                await self._tasks.popitem(last=False)[1].cancel()
            task = self._tasks[key] = await curio.spawn(self._search, key, daemon=True)
        async with curio.ignore_after(RELAY_WAIT):
            await task.wait()
        if not task.terminated:
            return Unfound.UNANSWERED
        if self._tasks.get(key) is task:
            # The next query searches again.
            del self._tasks[key]
        return await task.join()
