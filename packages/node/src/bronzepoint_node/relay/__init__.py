"""Requests passed on as they came: from the caller to a target, and the answer back."""

from ._call import GoOn
from ._codec import CallerHead, Codec, Copies, TargetVerdict
from ._continuation import (
    Continuation,
    RunGone,
    RunOutOfReach,
    RunState,
    RunStopped,
    RunStopper,
    RunUnclear,
)
from ._events import EventSplitter
from ._final_answers import FinalAnswers
from ._relay import Relay
from ._sender import Sender

__all__ = [
    "CallerHead",
    "Codec",
    "Continuation",
    "Copies",
    "EventSplitter",
    "FinalAnswers",
    "GoOn",
    "Relay",
    "RunGone",
    "RunOutOfReach",
    "RunState",
    "RunStopped",
    "RunStopper",
    "RunUnclear",
    "Sender",
    "TargetVerdict",
]
