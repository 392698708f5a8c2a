"""Relays requests unchanged from callers to targets, and the answers back."""

from ._codec import CallerHead, Codec, Copies, TargetVerdict
from ._events import EventSplitter
from ._final_answers import FinalAnswers
from ._gate import Gate
from ._host_headers import HOST_HEADERS
from ._reception import Reception
from ._relay import Relay
from ._sender import Sender

__all__ = [
    "CallerHead",
    "Codec",
    "Copies",
    "EventSplitter",
    "FinalAnswers",
    "Gate",
    "HOST_HEADERS",
    "Reception",
    "Relay",
    "Sender",
    "TargetVerdict",
]
