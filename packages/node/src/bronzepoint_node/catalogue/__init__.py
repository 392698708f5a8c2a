"""The catalogue on each host: what it serves on and how it learns of changes."""

from bronzepoint_common.items import item_kind

from ._catalogue import Catalogue
from ._items import (
    ItemKey,
    apply_delta,
    item_key,
    make_delta,
    make_patch,
    patched,
)
from ._neighbours import Source
from ._status import CatalogueStatus
from ._tree import LiveHost
from ._validation import find_contradictions, is_ip_address_and_port
from ._view import CatalogueView

__all__ = [
    "Catalogue",
    "CatalogueStatus",
    "CatalogueView",
    "ItemKey",
    "LiveHost",
    "Source",
    "apply_delta",
    "find_contradictions",
    "is_ip_address_and_port",
    "item_key",
    "item_kind",
    "make_delta",
    "make_patch",
    "patched",
]
