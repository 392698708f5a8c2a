"""Random faults over a deployment, with a checker of what callers saw."""

from bronzepoint_emulator.soak._checker import Violation, check
from bronzepoint_emulator.soak._history import (
    CallEvent,
    CallKind,
    ChangeEvent,
    Ending,
    FaultEvent,
    History,
    ViewEvent,
)
from bronzepoint_emulator.soak._run import SoakReport, run_soak
from bronzepoint_emulator.soak._schedule import Fault, FaultKind, draw_schedule

__all__ = [
    "CallEvent",
    "CallKind",
    "ChangeEvent",
    "Ending",
    "Fault",
    "FaultEvent",
    "FaultKind",
    "History",
    "SoakReport",
    "ViewEvent",
    "Violation",
    "check",
    "draw_schedule",
    "run_soak",
]
