"""The main job on Saphan's deployment, shown in under a minute."""

from bronzepoint_emulator.demo._demo import run_demo

__all__ = ["run_demo"]
