"""Whether the policy reaches its aims against the best of the plain ways."""

from bronzepoint_emulator.experiments._summary import mean_and_spread
from bronzepoint_emulator.experiments._table import Results

_POLICY = "policy"
_HALF = 0.5
_WORTH = 1.3


def aims_table(results: Results, faulty: set[str]) -> str:
    """Return the aims as Markdown, each with its figure and its verdict.

    Args:
        results: All figures.
        faulty: Scenarios in which p99 is to be halved.
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
        delay = _against(delays, "Saphan", min)
        worth = _against(worths, "Karadeniz", max)
        aim = _HALF if scenario in faulty else 1.0
        lines.append(
            f"| {scenario} | {delay:.2f} | {aim} | {_verdict(delay <= aim)} "
            f"| {worth:.2f} | {_WORTH} | {_verdict(worth >= _WORTH)} |"
        )
    return "\n".join(lines) + "\n"


def _against(figures: dict[str, float], user: str, best) -> float:
    own = [value for name, value in figures.items() if user in name]
    others = [value for name, value in figures.items() if not name.startswith(_POLICY)]
    if not own or not others:
        return float("nan")
    return own[0] / best(others)


def _verdict(reached: bool) -> str:
    return "yes" if reached else "no"


__all__ = ["aims_table"]
