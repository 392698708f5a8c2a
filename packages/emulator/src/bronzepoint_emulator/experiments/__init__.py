"""Experiments that compare placement policies under load and faults."""

from bronzepoint_emulator.experiments._arrivals import Arrival, Stream, draw_arrivals
from bronzepoint_emulator.experiments._scenarios import SCENARIOS, Scenario
from bronzepoint_emulator.experiments._summary import Summary, summarise

__all__ = [
    "SCENARIOS",
    "Arrival",
    "Scenario",
    "Stream",
    "Summary",
    "draw_arrivals",
    "summarise",
]
