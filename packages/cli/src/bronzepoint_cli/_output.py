"""Output of tables for people and JSON for scripts."""

import sys
from collections.abc import Iterable
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

PIPE_WIDTH = 200
"""Width in columns if the output is no terminal, wide enough not to truncate cells."""

MIN_WITHOUT_DECIMALS = 100
"""Smallest absolute value that is shown without decimals."""


def console() -> Console:
    """Return a console on standard output."""
    width = None if sys.stdout.isatty() else PIPE_WIDTH
    return Console(width=width, highlight=False, markup=False, emoji=False)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(encoded.decode())


def print_table(columns: Iterable[str], rows: Iterable[Iterable[object]]) -> None:
    """Print rows under column headings; numeric columns are right-aligned."""
    rows = [list(row) for row in rows]
    table = Table(box=None, pad_edge=False, header_style="bold")
    for index, column in enumerate(columns):
        cells = [row[index] for row in rows]
        numeric = bool(cells) and all(isinstance(cell, int | float) for cell in cells)
        justify = "right" if numeric else "left"
        table.add_column(column, justify=justify, overflow="fold")
    for row in rows:
        table.add_row(*(_cell(value) for value in row))
    # rich pads each line to the full width; strip the trailing spaces for scripts and
    # golden files.
    with (screen := console()).capture() as captured:
        screen.print(table)
    for line in captured.get().splitlines():
        print(line.rstrip())


def print_origin(headers: dict[str, str]) -> None:
    """Print which host answered, on standard error to keep standard output clean."""
    host = headers.get("bronzepoint-host", "?")
    region = headers.get("bronzepoint-region", "?")
    request_id = headers.get("bronzepoint-request-id", "?")
    print(f"answered by {host} ({region}), request {request_id}", file=sys.stderr)


def _cell(value: object) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case float():
            return (
                f"{value:.0f}" if abs(value) >= MIN_WITHOUT_DECIMALS else f"{value:.3g}"
            )
        case None:
            return ""
        case _:
            return str(value)


__all__ = ["console", "print_json", "print_origin", "print_table"]
