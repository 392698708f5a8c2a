"""Compares the policy with its aims, relative to the best baseline."""

from bronzepoint_emulator.experiments._summary import mean_and_spread
from bronzepoint_emulator.experiments._table import Results

_POLICY = "policy"
_P99_AIM = 0.5
"""Aim for the ratio of p99 delays in scenarios with faults."""
_WORTH_AIM = 1.3
"""Aim for the ratio of worth per cost."""


def aims_table(results: Results, faulty: set[str]) -> str:
    """Return a Markdown table of the aims, the measured ratios and verdicts.

    Args:
        results: Summaries by scenario and contender.
        faulty: Scenarios in which the aim is to halve p99.
    """
    lines = [
        "| scenario | policy's p99 by the best other's | aim | reached "
        "| policy's worth per cost by the best other's | aim | reached |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for scenario, contenders in results.items():
        delays, worths = {}, {}
        for name, summaries in contenders.items():
            delays[name] = mean_and_spread([s.p99_all for s in summaries])[0]
            worths[name] = mean_and_spread([s.worth for s in summaries])[0]
        delay = _ratio_to_best(delays, "Saphan", min)
        worth = _ratio_to_best(worths, "Karadeniz", max)
        aim = _P99_AIM if scenario in faulty else 1.0
        lines.append(
            f"| {scenario} | {delay:.2f} | {aim} | {_verdict(delay <= aim)} "
            f"| {worth:.2f} | {_WORTH_AIM} | {_verdict(worth >= _WORTH_AIM)} |"
        )
    return "\n".join(lines) + "\n"


def _ratio_to_best(figures: dict[str, float], user: str, best) -> float:
    own = [value for name, value in figures.items() if user in name]
    others = [value for name, value in figures.items() if not name.startswith(_POLICY)]
    if not own or not others:
        return float("nan")
    return own[0] / best(others)


def _verdict(reached: bool) -> str:
    return "yes" if reached else "no"


__all__ = ["aims_table"]
