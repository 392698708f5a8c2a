"""Delay between holding a revision and using it to serve requests."""

from collections import deque
from dataclasses import dataclass

from bronzepoint_schema.generated.catalogue import CatalogueItem
from bronzepoint_schema.ids import Revision

from ._items import ItemKey

MAX_WAIT = 1.0
"""Seconds to wait for a second copy in the region."""


@dataclass
class _Waiting:
    revision: Revision
    items: dict[ItemKey, CatalogueItem]
    since: float


class Exposure:
    """Withholds revisions until a restart of this host can't lose them.

    Suppose a host without a disk uses a revision that no other host of its region
    holds, and restarts while the region is disconnected. It would come back with an
    older revision and serve a removed entry again. It therefore waits for a second copy
    in the region. If none is reported within ``MAX_WAIT`` seconds, the host may be the
    only one, so the revision is exposed and reported as alone.
    """

    def __init__(self) -> None:
        self._waiting: deque[_Waiting] = deque()
        self._safe_revision = Revision(0)

    @property
    def is_waiting(self) -> bool:
        """Whether a revision is withheld."""
        return bool(self._waiting)

    def add(
        self, revision: Revision, items: dict[ItemKey, CatalogueItem], now: float
    ) -> None:
        """Add a revision that this host has just stored."""
        self._waiting.append(_Waiting(revision, items, now))

    def note_copy(self, revision: Revision) -> None:
        """Record that a local disk or another host of the region holds a revision."""
        self._safe_revision = max(self._safe_revision, revision)

    def take(
        self, now: float
    ) -> tuple[Revision, dict[ItemKey, CatalogueItem], bool] | None:
        """Remove and return the newest revision that may be used, or None.

        Returns:
            The revision, its items, and whether no second copy is known.
        """
        newest = None
        while self._waiting:
            first = self._waiting[0]
            safe = first.revision <= self._safe_revision
            if not safe and now - first.since < MAX_WAIT:
                break
            newest = (first.revision, first.items, not safe)
            self._waiting.popleft()
        return newest
