"""The Typer app with the connection options and all commands."""

from importlib.metadata import version
from pathlib import Path
from typing import Annotated

import typer

from bronzepoint_cli._profile import load_profile
from bronzepoint_cli.commands import (
    catalogue,
    cluster,
    config,
    counters,
    explain,
    hosts,
    load,
    orders,
    organisations,
    quarantine,
    send,
    targets,
    why,
)

app = typer.Typer(
    name="bronzepoint",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
app.add_typer(catalogue.app, name="catalogue")
app.add_typer(cluster.app, name="cluster")
app.add_typer(config.app, name="config")
app.add_typer(organisations.app, name="organisations")
app.add_typer(quarantine.app, name="quarantine")
app.command(name="why")(why.why)
app.command(name="explain")(explain.explain)
app.command(name="hosts")(hosts.hosts)
app.command(name="drain")(hosts.drain)
app.command(name="targets")(targets.targets)
app.command(name="orders")(orders.orders)
app.command(name="counters")(counters.counters)
app.command(name="send")(send.send)
app.command(name="load")(load.load)


def _print_version(wanted: bool) -> None:
    if wanted:
        print(version("bronzepoint-cli"))
        raise typer.Exit


@app.callback()
def connect(
    context: typer.Context,
    hosts: Annotated[
        str,
        typer.Option(
            envvar="BRONZEPOINT_HOSTS",
            help="Addresses of hosts, with commas between them.",
        ),
    ] = "",
    token: Annotated[
        str,
        typer.Option(
            envvar="BRONZEPOINT_TOKEN", help="Token of the caller or operator."
        ),
    ] = "",
    timeout: Annotated[
        float | None,
        typer.Option(min=0.1, help="Seconds for the whole command.  [default: 30]"),
    ] = None,
    client: Annotated[
        Path | None,
        typer.Option(
            envvar="BRONZEPOINT_CLIENT",
            help="INI file with hosts, token and timeout under [client].",
        ),
    ] = None,
    _version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_print_version,
            is_eager=True,
            help="Print the version.",
        ),
    ] = False,
) -> None:
    """Command line of bronzepoint, for operators and callers.

    Exit codes: 0 done; 1 refused, or faults found; 2 wrong usage or input file;
    3 no host could be reached.

    Example: bronzepoint --hosts 10.0.0.1:8080,10.0.0.2:8080 hosts
    """
    context.obj = load_profile(hosts, token, timeout, client)


__all__ = ["app"]
