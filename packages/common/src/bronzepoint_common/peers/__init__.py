"""Control messages between hosts."""

from bronzepoint_common.peers._area import Area
from bronzepoint_common.peers._errors import (
    FrameRejected,
    MessageUnencodable,
    PeerError,
    PeerFailed,
    PeerTimeout,
    PeerUnknown,
)
from bronzepoint_common.peers._peers import Handler, Peers

__all__ = [
    "Area",
    "FrameRejected",
    "Handler",
    "MessageUnencodable",
    "PeerError",
    "PeerFailed",
    "PeerTimeout",
    "PeerUnknown",
    "Peers",
]
