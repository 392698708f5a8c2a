"""Random pauses and kills of hosts around orders to close a data center.

``python -m tests._evacuation_soak ROUNDS SEED…`` prints a line for each round.
"""

import json
import random
import sys

import curio
import msgspec

from tests._evacuated_site import ENTRIES, EvacuatedSite, Pause, Round

OFFSETS = (-2.5, -0.3, -0.05, 0.002, 0.01, 0.03, 0.05, 0.1, 0.5)
"""Seconds from the order to open at which the first host is stopped."""
FIRST = ("asked", "asked", "leader", "acknowledged")
SECOND = ("leader", "acknowledged", "other", "another", *ENTRIES)


def draw(rng):
    """Return a random round."""
    first = Pause(
        rng.choice(FIRST), rng.choice(OFFSETS), round(rng.uniform(3.6, 7.0), 1)
    )
    first.kills = rng.random() < 0.15
    pauses = [first]
    if rng.random() < 0.6:
        at_once, in_turn = rng.choice(OFFSETS), first.offset + first.seconds
        offset = rng.choice((at_once, in_turn))
        second = Pause(rng.choice(SECOND), offset, round(rng.uniform(3.6, 6.0), 1))
        second.kills = rng.random() < 0.15
        pauses.append(second)
    return Round(
        tuple(pauses),
        rng.choice(("other", "leader", "acknowledged")),
        loses_end=rng.random() < 0.5,
        others=rng.random() < 0.3,
    )


async def run(rounds, seed):
    """Play rounds of one seed; return how many were broken."""
    rng = random.Random(seed)
    broken = 0
    site = EvacuatedSite()
    async with site:
        await site.send_requests()
        for number in range(rounds):
            plan = draw(rng)
            outcome = await site.play(plan)
            broken += bool(outcome.late)
            site.keep = broken > 0
            found = {"seed": seed, "round": number, "logs": str(site.root)}
            found |= {"plan": plan, "outcome": outcome}
            print(json.dumps(msgspec.to_builtins(found)), flush=True)
    return broken


def main(arguments):
    """Run the seeds; return 1 if an evacuation didn't hold."""
    rounds, *seeds = map(int, arguments)
    broken = [curio.run(run, rounds, seed) for seed in seeds]
    print(f"{sum(broken)} of {rounds * len(seeds)} rounds broken")
    return 1 if any(broken) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
