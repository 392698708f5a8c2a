"""``python -m bronzepoint_emulator.engine PLAN``: run the engines of a plan."""

from pathlib import Path

import msgspec
import typer

from bronzepoint_common.http import HttpClient
from bronzepoint_emulator._group import ServiceGroup
from bronzepoint_emulator._serving import serve, stub_limits
from bronzepoint_emulator.engine._engine import Engine
from bronzepoint_schema.generated.emulator import EnginePlan

CONNECT_TIMEOUT = 1.0
"""Seconds to connect to the weight store."""


def main(plan: Path) -> None:
    """Run the engines that the JSON file PLAN lists until SIGINT or SIGTERM."""
    content = msgspec.json.decode(plan.read_bytes(), type=EnginePlan)
    client = HttpClient(stub_limits(), CONNECT_TIMEOUT)
    engines = [
        Engine(spec, content.weight_store, client, content.seed + number)
        for number, spec in enumerate(content.engines)
    ]
    serve(ServiceGroup(engines))


if __name__ == "__main__":
    typer.run(main)
