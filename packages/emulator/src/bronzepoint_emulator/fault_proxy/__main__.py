"""``python -m bronzepoint_emulator.fault_proxy PLAN``: run the links of a plan."""

from pathlib import Path

import msgspec
import typer

from bronzepoint_emulator._serving import serve
from bronzepoint_emulator.fault_proxy._proxy import FaultProxy
from bronzepoint_schema.generated.emulator import ProxyPlan


def main(plan: Path) -> None:
    """Proxy the links that the JSON file PLAN lists until SIGINT or SIGTERM."""
    serve(FaultProxy(msgspec.json.decode(plan.read_bytes(), type=ProxyPlan)))


if __name__ == "__main__":
    typer.run(main)
