"""``bronzepoint orders``: show how engines progress to the wanted model versions."""

import typer

from bronzepoint_cli._errors import CliError
from bronzepoint_cli._gateway import Gateway
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.admin import HostsAnswer, StatusAnswer
from bronzepoint_schema.generated.orders import OrdersStatus

COLUMNS = ("TARGET", "REGION", "PHASE", "WANTED", "LOADED", "DETAIL")


def orders(context: typer.Context, json: JsonOption = False) -> None:
    """Show the engines that receive orders on which model version to load.

    Queries the leader, since only the leader gives orders.

    Example: bronzepoint orders
    """
    leader, answer = run_with_gateway(context, _query_leader)
    if json:
        print_json(answer)
        return
    rows = (
        (one.target, one.region, one.phase, one.wanted, one.loaded, one.detail)
        for one in answer.engines
    )
    print_table(COLUMNS, rows)
    if answer.holder:
        print(f"{leader} gives orders under fencing number {answer.fencing_number}")
    else:
        print(f"{leader} leads but may not give orders at the moment; ask again")


async def _query_leader(gateway: Gateway) -> tuple[str, OrdersStatus]:
    status = await gateway.get("/v1/admin/status", StatusAnswer)
    hosts = await gateway.get("/v1/admin/hosts", HostsAnswer)
    addresses = {host.name: host.http for host in hosts.hosts}
    if status.leader not in addresses:
        raise CliError(
            f"{status.host} knows of no leader; see 'bronzepoint cluster status --each'"
        )
    gateway.use_only(addresses[status.leader])
    return status.leader, await gateway.get("/v1/admin/orders", OrdersStatus)


__all__ = ["orders"]
