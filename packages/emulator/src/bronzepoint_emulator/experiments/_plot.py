"""Bar charts of the results: p99 to the first token, and worth per cost."""

from pathlib import Path

from bronzepoint_emulator.experiments._summary import mean_and_spread
from bronzepoint_emulator.experiments._table import Results

_SIZE = (12, 8)
"""Width and height in inches."""
_GROUP = 0.8
"""Width of a group of bars, where groups are 1 apart."""


def draw_plot(results: Results, path: Path) -> None:
    """Write the plot as SVG; requires matplotlib."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=_SIZE)
    _bars(upper, results, "p99_all")
    upper.set_ylabel("p99 to first token, all requests (s)")
    upper.legend(fontsize="small")
    _bars(lower, results, "worth")
    lower.set_ylabel("worth per cost")
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _bars(axes, results: Results, column: str) -> None:
    contenders = list(next(iter(results.values())))
    width = _GROUP / len(contenders)
    for number, contender in enumerate(contenders):
        places, means, spreads = [], [], []
        for place, by_contender in enumerate(results.values()):
            values = [getattr(one, column) for one in by_contender[contender]]
            mean, spread = mean_and_spread(values)
            places.append(place + number * width)
            means.append(mean)
            spreads.append(spread)
        axes.bar(places, means, width, yerr=spreads, label=contender, capsize=2)
    ticks = [place + _GROUP / 2 for place in range(len(results))]
    axes.set_xticks(ticks, list(results))


__all__ = ["draw_plot"]
