"""``python -m bronzepoint_emulator.soak``: exit status 1 if a rule was violated."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from bronzepoint_emulator.deployment import saphan
from bronzepoint_emulator.soak._checker import Violation
from bronzepoint_emulator.soak._history import History
from bronzepoint_emulator.soak._run import SoakReport, run_soak

MARGIN = 1.0
"""Seconds before and after a violation for which events are printed."""
SHOWN_EVENTS = 40
"""Maximum number of surrounding events printed for a violation."""
SHOWN_VIOLATIONS = 10
"""Maximum number of violations printed."""


def main(
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Duration of the faults in seconds.")
    ] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the random choices.")] = 1,
    logs: Annotated[
        Path | None, typer.Option(help="Folder for the processes' logs.")
    ] = None,
) -> None:
    """Inject random faults into a deployment and check what callers observed."""
    console = Console(width=140)
    report = run_soak(saphan(), seconds, seed, logs)
    show_report(console, report)
    sys.exit(1 if report.violations else 0)


def show_report(console: Console, report: SoakReport) -> None:
    """Print the counts of a run, and violations with surrounding events."""
    table = Table(title=f"seed {report.seed}, {report.seconds:g} s")
    table.add_column("what")
    table.add_column("count", justify="right")
    for title, counts in (
        ("fault", report.faults()),
        ("call", report.calls()),
        ("change", report.changes()),
    ):
        for name, count in sorted(counts.items()):
            table.add_row(f"{title}: {name}", str(count))
    table.add_row("views", str(report.views()))
    table.add_row("violations", str(len(report.violations)))
    console.print(table)
    for violation in report.violations[:SHOWN_VIOLATIONS]:
        _show_violation(console, report.history, violation)


def _show_violation(console: Console, history: History, violation: Violation) -> None:
    console.rule(f"[red]{violation.rule}[/]", align="left")
    console.print(escape(violation.what))
    for event in violation.events:
        console.print(escape(f"  {event}"))
    if not violation.events:
        return
    began = min(event.began for event in violation.events)
    ended = max(event.ended for event in violation.events)
    console.print("Surrounding events:")
    for event in history.overlapping(began, ended, MARGIN)[:SHOWN_EVENTS]:
        console.print(escape(f"  {event}"))


if __name__ == "__main__":
    typer.run(main)
