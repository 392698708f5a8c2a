"""``python -m bronzepoint_emulator.weight_store PLAN``: run a weight store."""

from pathlib import Path

import msgspec
import typer

from bronzepoint_emulator._serving import serve
from bronzepoint_emulator.weight_store._weight_store import WeightStore
from bronzepoint_schema.generated.emulator import WeightStorePlan


def main(plan: Path) -> None:
    """Run the store that the JSON file PLAN describes until SIGINT or SIGTERM."""
    serve(WeightStore(msgspec.json.decode(plan.read_bytes(), type=WeightStorePlan)))


if __name__ == "__main__":
    typer.run(main)
