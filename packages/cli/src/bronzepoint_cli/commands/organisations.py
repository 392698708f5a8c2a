"""``bronzepoint organisations``: show organisations, their quotas and their use."""

import typer

from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import OrganisationsAnswer, OrganisationState

PATH = "/-/organisations"
COLUMNS = ("ORGANISATION", "QUOTA", "BURST", "ASKED", "USED", "LEFT", "REFUSED")

app = typer.Typer(help="Organisations, their quotas and use.", no_args_is_help=True)


@app.command(name="list")
def list_organisations(context: typer.Context, json: JsonOption = False) -> None:
    """Show all organisations and their use of their quotas, over all hosts.

    Use the control address of a core host. QUOTA, ASKED and USED are in units per
    second; LEFT is the number of units that may be used at once, below 0 if the quota
    is exceeded. REFUSED counts units since the start of the host.

    Example: bronzepoint organisations list --json
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get(PATH, OrganisationsAnswer)
    )
    if json:
        print_json(answer)
        return
    print_table(COLUMNS, (_row(one) for one in answer.organisations))
    print(f"as counted by {answer.host}, by version {answer.version}")


def _row(one: OrganisationState) -> tuple[str, ...]:
    if not one.rate:
        return (one.name, "none", "", "", "", "", "")
    return (
        one.name,
        f"{one.rate:.0f} {one.unit}",
        f"{one.burst:.0f}",
        str(one.demand),
        str(one.used),
        str(one.level),
        str(one.refused),
    )


__all__ = ["app"]
