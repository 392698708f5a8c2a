"""Summary statistics of the runs, which are the columns of the table."""

import statistics
from collections import Counter

from msgspec import Struct

from bronzepoint_emulator.experiments._cell import Cell
from bronzepoint_emulator.experiments._deployment import DEADLINE
from bronzepoint_emulator.experiments._outcome import Outcome


class Summary(Struct):
    """Summary statistics of one run.

    Attributes:
        p50, p95, p99: Seconds to the first token of answered requests.
        p99_all: The same over all requests. Requests without an answer count as the
            deadline, so that refusals do not count as fast.
        in_time: Share of requests answered with the first token before the deadline.
        cost: Cost per answered request of all owners.
        worth: Worth of all owners' requests answered in time, per cost.
        away: Share of answered requests that were served in another region.
        refusals: Refused requests by kind.
        retries: Retries per request.
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
    """Return the summary of one run."""
    outcomes = cell.outcomes
    answered = [one for one in outcomes if one.answered]
    delays = sorted(one.first_token or 0.0 for one in answered)
    all_delays = sorted(time_to_first_token(one) for one in outcomes)
    in_time = [one for one in answered if time_to_first_token(one) < DEADLINE]
    # The engines' cost is not known per owner, so it is related to the answers of all
    # owners.
    all_answered = [one for one in outcomes + cell.others if one.answered]
    worth = sum(
        one.worth for one in all_answered if time_to_first_token(one) < DEADLINE
    )
    away = sum(1 for one in answered if one.served_in != one.home)
    refusals = Counter(one.refusal or "cut" for one in outcomes if not one.answered)
    return Summary(
        requests=len(outcomes),
        p50=quantile(delays, 0.5),
        p95=quantile(delays, 0.95),
        p99=quantile(delays, 0.99),
        p99_all=quantile(all_delays, 0.99),
        in_time=len(in_time) / max(1, len(outcomes)),
        cost=cell.cost / max(1, len(all_answered)),
        worth=worth / max(1e-9, cell.cost),
        away=away / max(1, len(answered)),
        refusals=dict(refusals),
        retries=sum(cell.retries.values()) / max(1, len(outcomes) + len(cell.others)),
    )


def time_to_first_token(outcome: Outcome) -> float:
    """Return the seconds to the first token, or the deadline if unanswered."""
    if not outcome.answered or outcome.first_token is None:
        return DEADLINE
    return outcome.first_token


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values, by nearest rank."""
    if not values:
        return float("nan")
    return values[min(len(values) - 1, int(share * len(values)))]


def mean_and_spread(values: list[float]) -> tuple[float, float]:
    """Return the mean of the values and half their range."""
    return statistics.fmean(values), (max(values) - min(values)) / 2


__all__ = ["Summary", "mean_and_spread", "quantile", "summarise", "time_to_first_token"]
