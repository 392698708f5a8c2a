"""Published ways to choose a target, for comparison on the arrivals of the replay.

Run ``python -m tests._published_choices`` for the table of docs/design/stale_load.md.
"""

from bronzepoint_node.policy._outputs import TargetChoice
from tests._stale_load_replay import EQUAL, UNEQUAL, Replay
from tests.test_policy_stale_load import by_counts, by_reports, by_spread

SEEDS = (1, 2)


def seen_load(view):
    """Return the requests per slot: own ones exactly, others as reported."""
    others = view.running - view.in_flight_at_report
    return (view.in_flight + others) / view.slots


def chosen(view):
    return TargetChoice(view, [], "")


def power_of_two(req, views, times, hosts, draws, now):
    """The better of two that are drawn at random."""
    return chosen(min(draws.rng.sample(views, 2), key=seen_load))


def idle_queue(req, views, times, hosts, draws, now):
    """Join the idle queue: any target with a free slot by the last report."""
    free = [view for view in views if seen_load(view) < 1]
    return chosen(draws.rng.choice(free or views))


def local_shortest(req, views, times, hosts, draws, now):
    """The fewest own requests for each slot, at random among equal ones."""
    fewest = min(view.in_flight / view.slots for view in views)
    near = [view for view in views if view.in_flight / view.slots == fewest]
    return chosen(draws.rng.choice(near))


def hot_and_cold(req, views, times, hosts, draws, now):
    """Three of the known states; the least loaded one of those below the median."""
    median = sorted(map(seen_load, views))[len(views) // 2]
    probed = draws.rng.sample(views, 3)
    cold = [view for view in probed if seen_load(view) <= median]
    return chosen(min(cold or probed, key=seen_load))


def interpreted(req, views, times, hosts, draws, now):
    """The way taken, with independent draws."""
    draws.sequence.__init__(draws.rng)
    return by_spread(req, views, times, hosts, draws, now)


CHOICES = {
    "former, old counts as current": by_counts,
    "former, reports that fade": by_reports,
    "power of two choices": power_of_two,
    "join the idle queue": idle_queue,
    "local shortest queue": local_shortest,
    "probes, hot and cold": hot_and_cold,
    "age interpreted, independent draws": interpreted,
    "age interpreted, even sequence": by_spread,
}


def main():
    """Print the table."""
    for name, choose in CHOICES.items():
        cells = []
        for hosts, targets in ((9, EQUAL), (80, EQUAL), (80, UNEQUAL)):
            runs = [Replay(choose, hosts, 1.0, targets, seed=seed) for seed in SEEDS]
            cells.append(sum(run.peak for run in runs) / len(runs))
            cells.append(sum(run.idle_wait for run in runs) / len(runs))
            cells.append(sum(run.p99() for run in runs) / len(runs))
        print(f"| {name} | " + " | ".join(f"{cell:.2f}" for cell in cells), flush=True)


if __name__ == "__main__":
    main()
