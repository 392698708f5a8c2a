"""Relays requests unchanged from callers to targets, and the answers back."""

from ._answer_writer import AnswerWriter
from ._authenticator import Authenticator
from ._codec import CallerHead, Codec, CopyInstructions, TargetVerdict
from ._handover import Handover
from ._host_headers import HOST_HEADERS
from ._placement_search import PlacementSearch
from ._relay import Relay
from ._request_intake import RequestIntake
from ._resume_check import ResumeCheck
from ._resumption import ResumptionCheck
from ._sender import Sender

__all__ = [
    "CallerHead",
    "Codec",
    "CopyInstructions",
    "AnswerWriter",
    "Authenticator",
    "HOST_HEADERS",
    "Handover",
    "PlacementSearch",
    "RequestIntake",
    "Relay",
    "ResumeCheck",
    "ResumptionCheck",
    "Sender",
    "TargetVerdict",
]
