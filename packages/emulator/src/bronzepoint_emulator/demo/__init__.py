"""Demo of Saphan's deployment; takes less than a minute."""

from bronzepoint_emulator.demo._demo import run_demo

__all__ = ["run_demo"]
