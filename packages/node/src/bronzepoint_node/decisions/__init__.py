"""Decision records: storage on this host, backup copies and lookup from any host."""

from bronzepoint_node.decisions._backups import backup_order
from bronzepoint_node.decisions._decisions import Decisions
from bronzepoint_node.decisions._errors import (
    BadRequestId,
    RecordNotFound,
    RecordUnreachable,
    WhyError,
)
from bronzepoint_node.decisions._request_id import (
    RequestIdParts,
    new_request_id,
    parse_request_id,
)
from bronzepoint_node.decisions._ring import SegmentRing
from bronzepoint_node.decisions._segment import Segment, record_key, seal

__all__ = [
    "BadRequestId",
    "Decisions",
    "RecordNotFound",
    "RecordUnreachable",
    "RequestIdParts",
    "Segment",
    "SegmentRing",
    "WhyError",
    "backup_order",
    "new_request_id",
    "parse_request_id",
    "record_key",
    "seal",
]
