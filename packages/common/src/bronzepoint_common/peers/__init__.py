"""Control messages between hosts, over pynng."""

from bronzepoint_common.peers._area import Area
from bronzepoint_common.peers._errors import (
    FrameRejected,
    PeerError,
    PeerFailed,
    PeerQueueFull,
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
    "PeerQueueFull",
    "PeerTimeout",
    "PeerUnknown",
    "Peers",
]
