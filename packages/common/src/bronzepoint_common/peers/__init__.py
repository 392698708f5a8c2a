"""Control messages between hosts."""

from bronzepoint_common.peers._area import Area
from bronzepoint_common.peers._errors import (
    FrameRejected,
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
    "PeerError",
    "PeerFailed",
    "PeerTimeout",
    "PeerUnknown",
    "Peers",
]
