"""``python -m bronzepoint_emulator.service PLAN``: run the services of a plan."""

from pathlib import Path

import msgspec
import typer

from bronzepoint_emulator._group import ServiceGroup
from bronzepoint_emulator._serving import serve
from bronzepoint_emulator.service._service import PlainService
from bronzepoint_schema.generated.emulator import ServicePlan


def main(plan: Path) -> None:
    """Run the services that the JSON file PLAN lists until SIGINT or SIGTERM."""
    content = msgspec.json.decode(plan.read_bytes(), type=ServicePlan)
    serve(ServiceGroup([PlainService(spec) for spec in content.services]))


if __name__ == "__main__":
    typer.run(main)
