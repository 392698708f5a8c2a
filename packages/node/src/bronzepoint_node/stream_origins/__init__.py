"""Where each stream began, known in other hosts and regions while it may be resumed."""

from ._origin import StreamOrigin, origin_key
from ._origin_table import OriginTable
from ._origins import AmbiguousOrigin, Origins, UnansweredOrigin

__all__ = [
    "AmbiguousOrigin",
    "OriginTable",
    "Origins",
    "StreamOrigin",
    "UnansweredOrigin",
    "origin_key",
]
