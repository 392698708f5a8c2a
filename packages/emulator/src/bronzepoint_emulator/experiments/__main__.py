"""``python -m bronzepoint_emulator.experiments``: run the experiments."""

import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bronzepoint_emulator.experiments._aims import aims_table
from bronzepoint_emulator.experiments._plot import draw_plot
from bronzepoint_emulator.experiments._runs import CONTENDERS, Runs
from bronzepoint_emulator.experiments._scenarios import SCENARIOS
from bronzepoint_emulator.experiments._summary import Summary, summarise
from bronzepoint_emulator.experiments._table import Results, result_table

WARM_UP = "calm"
"""Scenario run first, without measuring."""


def main(
    out: Annotated[Path, typer.Option(help="Folder for table, data and plot.")] = Path(
        "docs/measurements"
    ),
    seeds: Annotated[int, typer.Option(help="Seeds of each scenario.")] = 5,
    only: Annotated[
        list[str] | None, typer.Option(help="Scenarios to run; all by default.")
    ] = None,
) -> None:
    """Compare the policy with baseline policies, on real processes.

    Example: python -m bronzepoint_emulator.experiments --seeds 1 --only calm
    """
    names = only or [scenario.name for scenario in SCENARIOS]
    results: Results = {name: {} for name in names}
    began = time.monotonic()
    with Runs(CONTENDERS, typer.echo) as runs:
        # Not measured: caches and estimates are empty, unlike in normal operation.
        runs.run(WARM_UP, 0)
        for seed in range(1, seeds + 1):
            for name in names:
                for cell in runs.run(name, seed):
                    summaries = results[name].setdefault(cell.choice, [])
                    summaries.append(summarise(cell))
    took = time.monotonic() - began
    write_results(results, out, seeds, took)
    typer.echo(result_table(results))
    typer.echo(f"{took:.0f} s")


def write_results(results: Results, out: Path, seeds: int, took: float) -> None:
    """Write the table, the data and the plot."""
    out.mkdir(parents=True, exist_ok=True)
    faulty = {scenario.name for scenario in SCENARIOS if scenario.faulty}
    text = (
        "# Placing requests: the policy against plain ways\n\n"
        f"`make bench`, {seeds} seeds, {took:.0f} s in all. Mean ± half the range of "
        "the seeds; docs/design/policy.md says how it is measured.\n\n"
        f"{result_table(results)}\n## Aims\n\n{aims_table(results, faulty)}"
    )
    (out / "policy.md").write_text(text)
    data: dict[str, dict[str, list[Summary]]] = results
    packed = msgspec.json.format(msgspec.json.encode(data), indent=1)
    (out / "policy.json").write_bytes(packed)
    draw_plot(results, out / "policy.svg")


if __name__ == "__main__":
    typer.run(main)
