"""``bronzepoint quarantine``: show and release requests that crash targets."""

from typing import Annotated

import typer

from bronzepoint_cli._gateway import Gateway, Purpose, decode, path_part
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import QuarantineAnswer, ReleaseAnswer

PATH = "/-/quarantine"
COLUMNS = ("FINGERPRINT", "SERVICE", "STANDING", "CRASHES", "LAST", "LEFT")

app = typer.Typer(
    help="Requests that crash the targets that run them.", no_args_is_help=True
)


@app.command(name="list")
def list_requests(context: typer.Context, json: JsonOption = False) -> None:
    """Show the requests that are blocked or on trial.

    Use the control address of a core host. A FINGERPRINT with an asterisk stands for
    the same request from any caller. LAST is the time since the newest crash, LEFT the
    time until the request is treated like any other.

    Example: bronzepoint quarantine list --json
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get(PATH, QuarantineAnswer)
    )
    if json:
        print_json(answer)
        return
    rows = (
        (
            one.fingerprint,
            one.service,
            one.standing,
            len(one.crashes),
            f"{min((crash.age for crash in one.crashes), default=0.0):.0f} s ago",
            f"{one.seconds_left:.0f} s",
        )
        for one in answer.requests
    )
    print_table(COLUMNS, rows)
    print(f"as seen by {answer.host}")


@app.command()
def release(
    context: typer.Context,
    fingerprint: Annotated[
        str,
        typer.Argument(help="Fingerprint of the request, from the list or a log line."),
    ],
) -> None:
    """Allow a request to be sent to targets again, on all hosts.

    Release it only once the targets can run it: otherwise it crashes more of them.

    Example: bronzepoint quarantine release 3a16d1ecfbd3a76888452520bc516310
    """

    async def act(gateway: Gateway) -> ReleaseAnswer:
        path = f"{PATH}/{path_part(fingerprint)}"
        headers = gateway.headers()
        answer = await gateway.send("DELETE", path, headers, b"", Purpose.change)
        return decode(answer, ReleaseAnswer)

    if run_with_gateway(context, act).released:
        print(f"{fingerprint} is released")
        return
    print(f"{fingerprint} isn't blocked; see 'bronzepoint quarantine list'")
    raise typer.Exit(1)


__all__ = ["app"]
