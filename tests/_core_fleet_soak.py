"""Random cuts, replacements, restarts and losses of power of a fleet.

``python -m tests._core_fleet_soak SEED…`` prints a line for each seed.
"""

import random
import sys

import curio

from tests._core_fleet import CoreFleet

CORE = ("a1", "b1", "c1", "a2", "b2")
ENTRIES = ("a8", "a9", "b8", "b9", "c8")
STEPS = 8
"""Number of faults in one run; they overlap, as cuts end later."""
MAX_PAUSE = 5.0
"""Maximum seconds between two faults; contact counts as lost after 4 s."""


class Soak:
    """One run.

    Args:
        fleet: The fleet.
        seed: Determines the faults.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.version = 1
        self.started = 0
        self.faults = []
        self.steps = {
            self.replace: 4,
            self.cut_entries: 3,
            self.cut_core_host: 1,
            self.rejoin: 2,
            self.restart_entry: 2,
            self.lose_power: 1,
        }

    async def run(self):
        """Bring faults about, then wait until all hosts have the newest catalogue."""
        for _ in range(STEPS):
            (step,) = self.rng.choices([*self.steps], [*self.steps.values()])
            self.faults.append(step.__name__)
            await step()
            await curio.sleep(self.rng.uniform(0.0, MAX_PAUSE))
        await self.rejoin()
        await self.change()
        await self.fleet.until_in_force(self.version, *ENTRIES)
        running = self.fleet.running.values()
        await self.fleet.until(
            lambda: all(h.documents.version == self.version for h in running)
        )

    async def replace(self):
        """Replace a core host that isn't cut off."""
        former = self.rng.choice(
            sorted(self.fleet.running.keys() - self.fleet.isolated)
        )
        self.started += 1
        await self.rejoin_core()
        await self.fleet.replace_all({former: f"{former[0]}{10 + self.started}"})
        await self.change()

    async def cut_entries(self):
        """Cut some entry hosts off, or all of them."""
        names = sorted(self.fleet.entries)
        self.fleet.isolate(*self.rng.sample(names, self.rng.randint(1, len(names))))

    async def cut_core_host(self):
        """Cut one core host off; the others hold a quorum."""
        await self.rejoin_core()
        self.fleet.isolate(self.rng.choice(sorted(self.fleet.running)))

    async def rejoin(self):
        """End all cuts."""
        self.fleet.rejoin(*self.fleet.isolated)

    async def rejoin_core(self):
        """End the cuts of core hosts, as only one disk may be missing at a time."""
        self.fleet.rejoin(*(self.fleet.isolated & self.fleet.running.keys()))
        await self.change()

    async def restart_entry(self):
        """Restart an entry host, with the seeds that the settings name now."""
        name = self.rng.choice(sorted(self.fleet.entries))
        await self.fleet.stop_entry(name)
        await self.fleet.start_entry(name)

    async def lose_power(self):
        """Restart all core hosts at once."""
        await self.rejoin_core()
        core = sorted(self.fleet.running)
        for name in core:
            await self.fleet.stop(name)
        await curio.sleep(self.rng.uniform(0.0, MAX_PAUSE))
        for name in core:
            await self.fleet.start(name)
        await self.change()

    async def change(self):
        """Change the catalogue through a host that isn't cut off."""
        self.version += 1
        name = self.rng.choice(sorted(self.fleet.running.keys() - self.fleet.isolated))
        await self.fleet.put(name, self.version, b"%d" % self.version)


async def run(seed):
    """Run one seed; return the faults in their order.

    Raises:
        AssertionError: Not all hosts got the newest catalogue.
    """
    async with CoreFleet(*CORE) as fleet:
        await fleet.put(CORE[0], 1, b"1")
        for name in ENTRIES:
            await fleet.start_entry(name)
        await fleet.until_in_force(1, *ENTRIES)
        soak = Soak(fleet, seed)
        try:
            await soak.run()
        except AssertionError as exc:
            held = {name: fleet.in_force(name) for name in ENTRIES}
            held |= {n: host.documents.version for n, host in fleet.running.items()}
            raise AssertionError(f"{soak.faults}: {soak.version} of {held}") from exc
        return soak.faults


def main():
    """Run the seeds of the command line."""
    for seed in map(int, sys.argv[1:]):
        try:
            print(seed, "ok", *curio.run(run, seed), flush=True)
        except AssertionError as exc:
            print(seed, "BROKEN", exc, flush=True)


if __name__ == "__main__":
    main()
