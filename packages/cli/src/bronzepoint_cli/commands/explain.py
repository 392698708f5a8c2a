"""``bronzepoint explain``: timeline of one request from the logs of several hosts."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bronzepoint_cli._errors import CliError, UsageFault
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli.explain import (
    LogLine,
    RequestTimeline,
    build_timeline,
    find_cause,
    processing_started_at,
    read_log_lines,
)

CAPACITY_NOTE_MARK = "; homes "
"""Occurs only in the note on the free capacity known to the refusing host."""
HIDDEN_FIELDS = ("request", "tries", "seconds", "forwarded")
"""Fields of a request's log line that aren't shown in the list of fields."""


class RequestNotFound(CliError):
    """The logs contain no line about the request."""


def explain(
    request_id: Annotated[str, typer.Argument(help="The request's identifier.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(
            help="Log files of hosts; default: standard input.", show_default=False
        ),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Show the timeline of a request from the logs of its hosts, and its cause.

    Only reads the logs, without contacting any host.

    Example: bronzepoint explain req-1 /var/log/bronzepoint/*.log
    """
    lines = _all_lines(files or [])
    timeline = build_timeline(request_id, read_log_lines(lines, request_id))
    if json:
        print_json({**msgspec.to_builtins(timeline), "cause": find_cause(timeline)})
    else:
        print_timeline(timeline)
    if not timeline.parts:
        raise RequestNotFound(
            f"no line of request {request_id}; give the logs of all hosts of that time"
        )


def print_timeline(timeline: RequestTimeline) -> None:
    """Print a timeline as a table, followed by the cause."""
    if timeline.parts:
        rows = [_state_change_row(timeline, line) for line in timeline.beliefs]
        for part in timeline.parts:
            rows += _part_rows(timeline, part)
        rows.sort(key=lambda row: row[0])
        times = [(f"{row[0]:+.3f} s", *row[1:]) for row in rows]
        print_table(("TIME", "HOST", "WHAT", "DETAIL"), times)
    if timeline.left_out:
        print(f"{timeline.left_out} earlier state changes are left out")
    print(f"cause: {find_cause(timeline)}")


def _all_lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            raise UsageFault(f"{path} can't be read: {exc.strerror}") from exc


def _state_change_row(
    timeline: RequestTimeline, line: LogLine
) -> tuple[float, str, str, str]:
    return (
        line.at - timeline.started_at,
        line.host,
        line.message,
        _join_fields(line.fields),
    )


def _part_rows(
    timeline: RequestTimeline, part: LogLine
) -> list[tuple[float, str, str, str]]:
    arrival = "came, forwarded" if part.fields.get("forwarded") else "came"
    rows = [(processing_started_at(part) - timeline.started_at, part.host, arrival, "")]
    ended = part.at - timeline.started_at
    for number, note in enumerate(map(str, part.fields.get("tries", ())), start=1):
        # The last note of a refusal is about the known capacity and isn't a try.
        what = "known room" if CAPACITY_NOTE_MARK in note else f"try {number}"
        rows.append((ended, part.host, what, note))
    fields = {k: v for k, v in part.fields.items() if k not in HIDDEN_FIELDS}
    what = str(fields.pop("outcome", part.message))
    rows.append((ended, part.host, what, _join_fields(fields)))
    return rows


def _join_fields(fields: dict) -> str:
    return ", ".join(f"{name} {value}" for name, value in fields.items())


__all__ = ["explain"]
