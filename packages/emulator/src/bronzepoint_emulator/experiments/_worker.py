"""Worker process that runs scenarios on one deployment, one after another."""

import traceback
from multiprocessing.connection import Connection

from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.experiments._cell import Cell, run_cell
from bronzepoint_emulator.experiments._deployment import (
    KARADENIZ_WEIGHTS,
    SAPHAN_WEIGHTS,
    experiment_layout,
)
from bronzepoint_emulator.experiments._scenarios import SCENARIOS, restore
from bronzepoint_schema.generated.settings import PolicyChoice

_WEIGHTS = {"saphan": SAPHAN_WEIGHTS, "karadeniz": KARADENIZ_WEIGHTS}


def work(commands: Connection, choice: str, weights: str, extra: dict) -> None:
    """Start a deployment, then run (scenario, seed) pairs until None is received.

    Args:
        commands: Connection for receiving pairs and sending results.
        choice: Value of ``choice`` in the [policy] section.
        weights: User whose weights the entry has.
        extra: Additional keys of the [policy] section.
    """
    scenarios = {scenario.name: scenario for scenario in SCENARIOS}
    layout = experiment_layout(PolicyChoice(choice), _WEIGHTS[weights])
    layout.settings["policy"].update(extra)
    with Deployment(layout, proxied=True) as deployment:
        commands.send("ready")
        while (command := commands.recv()) is not None:
            name, seed = command
            try:
                restore(deployment)
                scenario = scenarios[name]
                cell: Cell | str = run_cell(deployment, scenario, choice, weights, seed)
            except Exception:
                cell = traceback.format_exc()
            commands.send(cell)


__all__ = ["work"]
