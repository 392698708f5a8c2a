"""``python -m bronzepoint_emulator.host_list PLAN``: serve the list of a plan."""

from pathlib import Path

import msgspec
import typer

from bronzepoint_emulator._serving import serve
from bronzepoint_emulator.host_list._host_list import HostListStub
from bronzepoint_schema.generated.emulator import HostListPlan


def main(plan: Path) -> None:
    """Serve the list that the JSON file PLAN describes until SIGINT or SIGTERM."""
    serve(HostListStub(msgspec.json.decode(plan.read_bytes(), type=HostListPlan)))


if __name__ == "__main__":
    typer.run(main)
