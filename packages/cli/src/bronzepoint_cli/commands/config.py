"""``bronzepoint config``: check the settings file of a host."""

from pathlib import Path
from typing import Annotated

import typer

from bronzepoint_cli._errors import CliError
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json
from bronzepoint_common.settings import SettingsErrorGroup, load_settings, voters

app = typer.Typer(
    help="Check the settings of a host.", no_args_is_help=True, rich_markup_mode=None
)


class SettingsFaults(CliError):
    """The settings file has faults, which were printed."""


@app.command("check")
def check(
    file: Annotated[Path, typer.Argument(help="INI file of bronzepointd.")],
    json: JsonOption = False,
) -> None:
    """Check the settings of a host, without contacting any host.

    Example: bronzepoint config check /etc/bronzepoint/host.ini
    """
    try:
        settings = load_settings(file)
    except SettingsErrorGroup as group:
        faults = list(group.exceptions)
        if json:
            print_json([_fault_fields(fault) for fault in faults])
        else:
            for fault in faults:
                print(fault)
        count = len(faults)
        raise SettingsFaults(f"{file}: {count} fault{'s' * (count > 1)}") from None
    if json:
        print_json([])
        return
    host = settings.host
    names = ", ".join(voters(settings)) or "none"
    print(f"{file}: host {host.name} of region {host.region} is well configured")
    print(f"peers: {len(settings.peers)}; voters: {names}")


def _fault_fields(fault: object) -> dict[str, str]:
    keys = ("file", "section", "key", "problem", "remedy")
    return {key: getattr(fault, key) for key in keys}


__all__ = ["app"]
