"""Markdown table of the results."""

from collections import Counter

from bronzepoint_emulator.experiments._summary import Summary, mean_and_spread

Results = dict[str, dict[str, list[Summary]]]
"""Summaries by scenario and contender, one per seed."""

_HEAD = (
    "scenario",
    "placed by",
    "p50 s",
    "p95 s",
    "p99 s",
    "p99 of all s",
    "in time",
    "cost per answer",
    "worth per cost",
    "away",
    "retries per request",
    "refusals",
)


def result_table(results: Results) -> str:
    """Return one row per scenario and contender, with mean ± half the range."""
    lines = [_row(_HEAD), _row(["---"] * len(_HEAD))]
    for scenario, contenders in results.items():
        for contender, summaries in contenders.items():
            lines.append(_row(_cells(scenario, contender, summaries)))
    return "\n".join(lines) + "\n"


def _cells(scenario: str, contender: str, summaries: list[Summary]) -> list[str]:
    refusals: Counter[str] = Counter()
    for summary in summaries:
        refusals.update(summary.refusals)
    requests = sum(summary.requests for summary in summaries)
    kinds = ", ".join(
        f"{kind} {count / requests:.1%}" for kind, count in refusals.most_common()
    )
    return [
        scenario,
        contender,
        _format_figure([s.p50 for s in summaries], "{:.3f}"),
        _format_figure([s.p95 for s in summaries], "{:.2f}"),
        _format_figure([s.p99 for s in summaries], "{:.2f}"),
        _format_figure([s.p99_all for s in summaries], "{:.2f}"),
        _format_figure([100 * s.in_time for s in summaries], "{:.1f}") + " %",
        _format_figure([s.cost for s in summaries], "{:.2f}"),
        _format_figure([s.worth for s in summaries], "{:.2f}"),
        _format_figure([100 * s.away for s in summaries], "{:.0f}") + " %",
        _format_figure([s.retries for s in summaries], "{:.3f}"),
        kinds or "none",
    ]


def _format_figure(values: list[float], form: str) -> str:
    mean, spread = mean_and_spread(values)
    return f"{form.format(mean)} ± {form.format(spread)}"


def _row(cells: list[str] | tuple[str, ...]) -> str:
    return "| " + " | ".join(cells) + " |"


__all__ = ["Results", "result_table"]
