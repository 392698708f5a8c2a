"""The columns of the table, from the outcomes of the runs."""

import statistics
from collections import Counter

from msgspec import Struct

from bronzepoint_emulator.experiments._cell import Cell
from bronzepoint_emulator.experiments._deployment import DEADLINE
from bronzepoint_emulator.experiments._outcome import Outcome


class Summary(Struct):
    """One run in figures.

    Attributes:
        p50, p95, p99: seconds to the first token of answered requests.
        p99_all: the same over all requests; one without an answer counts as the
            deadline, so that refusing doesn't look fast.
        in_time: share of requests answered with the first token before the deadline.
        cost: cost per answered request, of all owners.
        worth: worth of the requests answered in time, of all owners, per cost.
        away: share of answered requests that were served away from home.
        refusals: refused requests by kind.
        retries: repeated tries per request.
    """

    requests: int
    p50: float
    p95: float
    p99: float
    p99_all: float
    in_time: float
    cost: float
    worth: float
    away: float
    refusals: dict[str, int]
    retries: float


def summarise(cell: Cell) -> Summary:
    """Return the figures of one run."""
    outcomes = cell.outcomes
    answered = [one for one in outcomes if one.answered]
    delays = sorted(one.first_token or 0.0 for one in answered)
    everyone = sorted(waited(one) for one in outcomes)
    in_time = [one for one in answered if waited(one) < DEADLINE]
    # The engines' cost can't be told apart by owner, so it is compared with what all
    # owners got for it.
    paid = [one for one in outcomes + cell.others if one.answered]
    worth = sum(one.worth for one in paid if waited(one) < DEADLINE)
    away = sum(1 for one in answered if one.served_in != one.home)
    refusals = Counter(one.refusal or "cut" for one in outcomes if not one.answered)
    return Summary(
        requests=len(outcomes),
        p50=quantile(delays, 0.5),
        p95=quantile(delays, 0.95),
        p99=quantile(delays, 0.99),
        p99_all=quantile(everyone, 0.99),
        in_time=len(in_time) / max(1, len(outcomes)),
        cost=cell.cost / max(1, len(paid)),
        worth=worth / max(1e-9, cell.cost),
        away=away / max(1, len(answered)),
        refusals=dict(refusals),
        retries=sum(cell.retries.values()) / max(1, len(outcomes) + len(cell.others)),
    )


def waited(outcome: Outcome) -> float:
    """Return the time to the first token; without an answer, the deadline."""
    if not outcome.answered or outcome.first_token is None:
        return DEADLINE
    return outcome.first_token


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values: the nearest rank."""
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(share * len(values)))]


def mean_and_spread(values: list[float]) -> tuple[float, float]:
    """Return the mean of the seeds and half of their range."""
    return statistics.fmean(values), (max(values) - min(values)) / 2


__all__ = ["Summary", "mean_and_spread", "quantile", "summarise", "waited"]
