"""``bronzepoint counters``: show the metrics of one host."""

from typing import Annotated

import typer

from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import CountersAnswer


def counters(
    context: typer.Context,
    prefix: Annotated[
        str, typer.Argument(help="Only names with this prefix, such as refusal.")
    ] = "",
    json: JsonOption = False,
) -> None:
    """Show the counters and gauges of the first host that answers.

    Example: bronzepoint --hosts 10.0.0.1:8080 counters refusal.
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get("/v1/admin/counters", CountersAnswer)
    )
    answer.counters = _select(answer.counters, prefix)
    answer.gauges = _select(answer.gauges, prefix)
    if json:
        print_json(answer)
        return
    rows = [*answer.counters.items(), *answer.gauges.items()]
    print_table(("NAME", "VALUE"), rows)
    print(f"at {answer.host}, since its start")


def _select(values: dict, prefix: str) -> dict:
    return {name: values[name] for name in sorted(values) if name.startswith(prefix)}


__all__ = ["counters"]
