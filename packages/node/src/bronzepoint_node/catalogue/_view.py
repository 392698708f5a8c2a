"""The view of the catalogue that requests on this host are decided on."""

from collections.abc import Callable, Iterable

from bronzepoint_schema.generated.agreement import ItemKind
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
    EntryClass,
    ModelEntry,
    OwnerItem,
    ServiceEntry,
)
from bronzepoint_schema.ids import EntryName, OwnerName, Revision

from ._items import ItemKey, item_key

_NEVER = float("inf")


class CatalogueView:
    """This host's newest view; its revision never decreases.

    Args:
        clock: Returns monotonic seconds.

    Attributes:
        revision: Revision that requests are decided on.
        ready: Whether the view is known to be at least as new as any that this host or
            its region has acknowledged. Until then, no requests may be served.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.revision = Revision(0)
        self.ready = False
        self._clock = clock
        self._items: dict[ItemKey, CatalogueItem] = {}
        self._confirmed_at = -_NEVER
        self._callbacks: list[Callable[[], None]] = []

    def entry(self, name: EntryName) -> ModelEntry | ServiceEntry | None:
        """Return an entry by its name."""
        return self._items.get(ItemKey.of(ItemKind.model, name))

    def owner(self, name: OwnerName) -> OwnerItem | None:
        """Return the limits of one organisation."""
        return self._items.get(ItemKey.of(ItemKind.owner, name))

    def class_item(self, cls: EntryClass) -> ClassItem | None:
        """Return the limits of one class."""
        return self._items.get(ItemKey.of(ItemKind.class_, cls.value))

    def find(self, item: CatalogueItem) -> CatalogueItem | None:
        """Return the current version of an item."""
        return self._items.get(item_key(item))

    def items(self) -> list[CatalogueItem]:
        """Return all items."""
        return list(self._items.values())

    def confirmed_age(self) -> float:
        """Return the seconds since the leader last confirmed this view.

        Infinite before the first confirmation after the start of the process.
        """
        return max(0.0, self._clock() - self._confirmed_at)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for new revisions and for the view becoming ready."""
        self._callbacks.append(callback)

    def show(
        self, revision: Revision, items: dict[ItemKey, CatalogueItem], ready: bool
    ) -> None:
        """Replace the view with a newer state; internal to the package."""
        if revision < self.revision or (self.ready and not ready):
            raise ValueError(f"view at {self.revision} can't go back to {revision}")
        changed = revision != self.revision or ready != self.ready
        self.revision, self._items, self.ready = revision, items, ready
        if changed:
            self._run_callbacks(self._callbacks)

    def confirm(self, at: float) -> None:
        """Record that the view was current at this time; internal to the package."""
        self._confirmed_at = max(self._confirmed_at, at)

    def _run_callbacks(self, callbacks: Iterable[Callable[[], None]]) -> None:
        for callback in callbacks:
            callback()
