"""The ``bronzepointd`` command."""

import sys
from pathlib import Path
from typing import Annotated

import curio
import typer

from bronzepoint_common.logs import LogFileError, setup_logs
from bronzepoint_common.settings import SettingsErrorGroup, load_settings
from bronzepoint_common.storage import StorageError
from bronzepoint_node._daemon import run_daemon
from bronzepoint_node._listening import AddressUnusable

EXIT_SETTINGS = 2
"""Exit status if the settings are invalid."""
EXIT_START = 1
"""Exit status if the daemon can't start for another reason."""

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    settings: Annotated[Path, typer.Argument(help="INI file of this host.")],
) -> None:
    """Run the daemon of one entry host until SIGTERM.

    Example: bronzepointd /etc/bronzepoint/bkk-1.ini
    """
    try:
        cfg = load_settings(settings)
    except SettingsErrorGroup as group:
        for exc in group.exceptions:
            print(exc, file=sys.stderr)
        raise typer.Exit(EXIT_SETTINGS) from None
    try:
        log_handler = setup_logs(cfg.log, cfg.host.name)
        curio.run(run_daemon, cfg, log_handler, settings)
    except (AddressUnusable, OSError, StorageError, LogFileError) as exc:
        print(exc, file=sys.stderr)
        raise typer.Exit(EXIT_START) from None


def main() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    main()
