"""``bronzepoint quarantine``: requests that crash the targets that run them."""

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
    """Show the requests that are held back or on trial.

    Ask a host of the core at its operators' address. A FINGERPRINT with an asterisk
    stands for what is asked by whatever caller. LAST is the newest crash, LEFT the time
    until the request is one as any other.

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
        str, typer.Argument(help="Its name, as the list and the log lines have it.")
    ],
) -> None:
    """Let a request be sent to targets again, on all hosts.

    Release it once targets run that stand it: before that it crashes some more.

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
    print(f"{fingerprint} isn't held back; see 'bronzepoint quarantine list'")
    raise typer.Exit(1)


__all__ = ["app"]
