"""Options shared by several commands."""

from typing import Annotated

import typer

JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON in place of a table.")
]

__all__ = ["JsonOption"]
