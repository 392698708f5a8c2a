"""``bronzepoint hosts`` and ``bronzepoint drain``: show and drain hosts."""

from typing import Annotated

import typer

from bronzepoint_cli._errors import CliError
from bronzepoint_cli._gateway import Gateway, path_part
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import DrainAnswer, HostsAnswer, HostStatus

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
    """Show the hosts known to the answering host.

    Load, catalogue revision and whether a host stores run-once records are shown only
    for the region of the answering host, as they aren't known for other regions.

    Example: bronzepoint hosts --json
    """
    answer = run_with_gateway(
        context, lambda gateway: gateway.get("/v1/admin/hosts", HostsAnswer)
    )
    if json:
        print_json(answer)
        return
    own = {host.region for host in answer.hosts if host.name == answer.host}
    ordered = sorted(answer.hosts, key=lambda host: (host.region, host.name))
    rows = (_host_row(host, host.region in own) for host in ordered)
    print_table(COLUMNS, rows)
    print(f"as seen by {answer.host}")


def _host_row(host: HostStatus, detailed: bool) -> tuple[object, ...]:
    """Return the table row of a host.

    Args:
        host: Status of the host.
        detailed: Whether to include the values known only within a region.
    """
    row = (host.name, host.region, host.data_center, host.http, host.state)
    if not detailed:
        return (*row, "", "", "")
    return (*row, host.load, host.revision, host.run_once_ready)


def drain(
    context: typer.Context,
    host: Annotated[str, typer.Argument(help="Name of the host.")],
    json: JsonOption = False,
) -> None:
    """Make a host refuse new requests and finish those in progress.

    The host keeps running; end its process with SIGTERM when it has drained.

    Example: bronzepoint drain bkk-1
    """

    async def act(gateway: Gateway) -> DrainAnswer:
        answer = await gateway.get("/v1/admin/hosts", HostsAnswer)
        known = {status.name: status.http for status in answer.hosts}
        if host not in known:
            names = ", ".join(sorted(known))
            raise CliError(f"{answer.host} knows no host {host!r}; it knows {names}")
        gateway.use_only(known[host])
        path = f"/v1/admin/drain/{path_part(host)}"
        return await gateway.post(path, b"{}", DrainAnswer)

    answer = run_with_gateway(context, act)
    if json:
        print_json(answer)
        return
    print(f"{answer.host} drains; {answer.in_progress} requests in progress")


__all__ = ["drain", "hosts"]
