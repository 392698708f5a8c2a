"""``bronzepoint targets``: show the targets that one host chooses from."""

from typing import Annotated

import typer

from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import TargetsAnswer, TargetStatus

COLUMNS = (
    "ENTRY",
    "TARGET",
    "REGION",
    "STATE",
    "IN FLIGHT",
    "RUNNING",
    "WAITING",
    "REPORT AGE",
)


def targets(
    context: typer.Context,
    entry: Annotated[str, typer.Option(help="Only targets of this entry.")] = "",
    json: JsonOption = False,
) -> None:
    """Show the targets that the answering host chooses from.

    For a leaving target, STATE names the sources that reported it. IN FLIGHT counts
    requests of the answering host only; RUNNING and WAITING were reported by the target
    itself, REPORT AGE seconds ago.

    Example: bronzepoint targets --entry phrasebook
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get("/v1/admin/targets", TargetsAnswer)
    )
    if entry:
        answer.targets = [one for one in answer.targets if one.entry == entry]
    if json:
        print_json(answer)
        return
    rows = (
        (
            one.entry,
            one.name,
            one.region,
            _state(one),
            one.in_flight,
            one.running,
            one.waiting,
            f"{one.age:.1f} s" if one.age >= 0 else "none",
        )
        for one in sorted(answer.targets, key=lambda one: (one.entry, one.name))
    )
    print_table(COLUMNS, rows)
    print(f"as seen by {answer.host}")


def _state(target: TargetStatus) -> str:
    if not target.leaving_by:
        return target.state
    return f"{target.state} ({', '.join(target.leaving_by)})"


__all__ = ["targets"]
