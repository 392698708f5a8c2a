"""``bronzepoint hosts`` and ``bronzepoint drain``."""

from typing import Annotated

import typer

from bronzepoint_cli._errors import CliError
from bronzepoint_cli._gateway import Gateway, path_part
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import DrainAnswer, HostsAnswer

COLUMNS = (
    "HOST",
    "REGION",
    "DATA CENTER",
    "ADDRESS",
    "STATE",
    "LOAD",
    "REVISION",
    "RUN ONCE",
)


def hosts(context: typer.Context, json: JsonOption = False) -> None:
    """Show the hosts that the answering host knows.

    Example: bronzepoint hosts --json
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get("/v1/admin/hosts", HostsAnswer)
    )
    if json:
        print_json(answer)
        return
    rows = (
        (
            host.name,
            host.region,
            host.data_center,
            host.http,
            host.state,
            host.load,
            host.revision,
            host.run_once_ready,
        )
        for host in sorted(answer.hosts, key=lambda host: (host.region, host.name))
    )
    print_table(COLUMNS, rows)
    print(f"as seen by {answer.host}")


def drain(
    context: typer.Context,
    host: Annotated[str, typer.Argument(help="Name of the host.")],
    json: JsonOption = False,
) -> None:
    """Tell a host to take no new callers; requests in progress are finished.

    The host keeps running; end its process with SIGTERM when it has drained.

    Example: bronzepoint drain bkk-1
    """

    async def act(gateway: Gateway) -> DrainAnswer:
        answer = await gateway.get("/v1/admin/hosts", HostsAnswer)
        known = {status.name: status.http for status in answer.hosts}
        if host not in known:
            names = ", ".join(sorted(known))
            raise CliError(f"{answer.host} knows no host {host!r}; it knows {names}")
        gateway.only(known[host])
        path = f"/v1/admin/drain/{path_part(host)}"
        return await gateway.post(path, b"{}", DrainAnswer)

    answer = run_with_gateway(context, act)
    if json:
        print_json(answer)
        return
    print(f"{answer.host} drains; {answer.in_progress} requests in progress")


__all__ = ["drain", "hosts"]
