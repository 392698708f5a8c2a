"""Runs random faults on a deployment and checks what callers observed."""

from bronzepoint_emulator.soak._checker import Violation, check
from bronzepoint_emulator.soak._history import (
    CallEvent,
    CallKind,
    CallOutcome,
    ChangeEvent,
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
    "CallOutcome",
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
