"""Requests passed on as they came: from the caller to a target, and the answer back."""

from ._codec import CallerHead, Codec, TargetVerdict
from ._events import EventSplitter
from ._relay import Relay, RelaySettings

__all__ = [
    "CallerHead",
    "Codec",
    "EventSplitter",
    "Relay",
    "RelaySettings",
    "TargetVerdict",
]
