"""What this host serves on: its newest view of the catalogue."""

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
    """This host's newest view; it never goes back.

    Args:
        clock: Monotonic seconds.

    Attributes:
        revision: Revision that requests are decided on.
        ready: False until the view is known to be no older than any that this host
            or its region has acknowledged; until then nothing may be served.
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
        """Return the version of an item that is in force here."""
        return self._items.get(item_key(item))

    def items(self) -> list[CatalogueItem]:
        """Return all items."""
        return list(self._items.values())

    def confirmed_age(self) -> float:
        """Return the seconds since the leader is known to have confirmed this view.

        Infinite until the first confirmation after the start of the process.
        """
        return max(0.0, self._clock() - self._confirmed_at)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each new revision and when the view becomes ready."""
        self._callbacks.append(callback)

    def show(
        self, revision: Revision, items: dict[ItemKey, CatalogueItem], ready: bool
    ) -> None:
        """Take a newer state; for the package's own use."""
        if revision < self.revision or (self.ready and not ready):
            raise ValueError(f"view at {self.revision} asked to go back to {revision}")
        changed = revision != self.revision or ready != self.ready
        self.revision, self._items, self.ready = revision, items, ready
        if changed:
            self._call_back(self._callbacks)

    def confirm(self, at: float) -> None:
        """Note that the view was current at this time; for the package's own use."""
        self._confirmed_at = max(self._confirmed_at, at)

    def _call_back(self, callbacks: Iterable[Callable[[], None]]) -> None:
        for callback in callbacks:
            callback()
