"""When a revision that this host holds may be served on."""

from collections import deque
from dataclasses import dataclass

from bronzepoint_schema.generated.catalogue import CatalogueItem
from bronzepoint_schema.ids import Revision

from ._items import ItemKey

PATIENCE = 1.0
"""Seconds to wait for a second copy in the region."""


@dataclass
class _Waiting:
    revision: Revision
    items: dict[ItemKey, CatalogueItem]
    since: float


class Exposure:
    """Holds revisions back until a restart of this host can't lose them.

    A host without a disk that served on a revision nobody else of its region holds,
    and restarts while the region is cut off, would come back with an older one:
    a removed entry would be served again. So it waits for a second copy in the
    region; if none comes within ``PATIENCE`` (it is alone) it goes on and counts it.
    """

    def __init__(self) -> None:
        self._waiting: deque[_Waiting] = deque()
        self._safe = Revision(0)

    @property
    def is_waiting(self) -> bool:
        """True while a revision is held back."""
        return bool(self._waiting)

    def add(
        self, revision: Revision, items: dict[ItemKey, CatalogueItem], now: float
    ) -> None:
        """Add a revision that this host holds now."""
        self._waiting.append(_Waiting(revision, items, now))

    def note_copy(self, revision: Revision) -> None:
        """Note that a disk here or another host of the region holds a revision."""
        self._safe = max(self._safe, revision)

    def take(
        self, now: float
    ) -> tuple[Revision, dict[ItemKey, CatalogueItem], bool] | None:
        """Return the newest revision that may be served on, and whether it is alone."""
        newest = None
        while self._waiting:
            first = self._waiting[0]
            safe = first.revision <= self._safe
            if not safe and now - first.since < PATIENCE:
                break
            newest = (first.revision, first.items, not safe)
            self._waiting.popleft()
        return newest
