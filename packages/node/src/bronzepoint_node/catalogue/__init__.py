"""The catalogue on each host: its local view and the distribution of changes."""

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
from ._parent_selector import AgreementSource
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
    "AgreementSource",
    "apply_delta",
    "find_contradictions",
    "is_ip_address_and_port",
    "item_key",
    "item_kind",
    "make_delta",
    "make_patch",
    "patched",
]
