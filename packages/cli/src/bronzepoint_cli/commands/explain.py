"""``bronzepoint explain``: one request's story from the logs of several hosts."""

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
    Story,
    began_at,
    find_cause,
    read_log_lines,
    tell_story,
)

KNOWN_ROOM = "; homes "
"""Stands in the note on the room that a refusing host knew of."""
SHOWN_APART = ("request", "tries", "seconds", "forwarded")
"""Fields of a request's line that aren't listed with the others."""


class RequestNotFound(CliError):
    """The logs have no line of the request."""


def explain(
    request_id: Annotated[str, typer.Argument(help="The request's identifier.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of hosts; none: standard input.", show_default=False),
    ] = None,
    json: JsonOption = False,
) -> None:
    """Tell one request's story from the logs of its hosts, with the cause at the end.

    No host needs to run.

    Example: bronzepoint explain req-1 /var/log/bronzepoint/*.log
    """
    lines = _all_lines(files or [])
    story = tell_story(request_id, read_log_lines(lines, request_id))
    if json:
        print_json({**msgspec.to_builtins(story), "cause": find_cause(story)})
    else:
        print_story(story)
    if not story.parts:
        raise RequestNotFound(
            f"no line of request {request_id}; give the logs of all hosts of that time"
        )


def print_story(story: Story) -> None:
    """Print a story for people."""
    if story.parts:
        rows = [_belief_row(story, line) for line in story.beliefs]
        for part in story.parts:
            rows += _part_rows(story, part)
        rows.sort(key=lambda row: row[0])
        times = [(f"{row[0]:+.3f} s", *row[1:]) for row in rows]
        print_table(("TIME", "HOST", "WHAT", "DETAIL"), times)
    if story.left_out:
        print(f"{story.left_out} earlier changes of belief are left out")
    print(f"cause: {find_cause(story)}")


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


def _belief_row(story: Story, line: LogLine) -> tuple[float, str, str, str]:
    return line.at - story.began, line.host, line.message, _listed(line.fields)


def _part_rows(story: Story, part: LogLine) -> list[tuple[float, str, str, str]]:
    came = "came, forwarded" if part.fields.get("forwarded") else "came"
    rows = [(began_at(part) - story.began, part.host, came, "")]
    ended = part.at - story.began
    for number, note in enumerate(map(str, part.fields.get("tries", ())), start=1):
        # A refusal ends with what was known of the room, in place of a try.
        what = "known room" if KNOWN_ROOM in note else f"try {number}"
        rows.append((ended, part.host, what, note))
    fields = {k: v for k, v in part.fields.items() if k not in SHOWN_APART}
    what = str(fields.pop("outcome", part.message))
    rows.append((ended, part.host, what, _listed(fields)))
    return rows


def _listed(fields: dict) -> str:
    return ", ".join(f"{name} {value}" for name, value in fields.items())


__all__ = ["explain"]
