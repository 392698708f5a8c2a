"""Core hosts replaced, then all processes restarted at once, some with empty disks.

``python -m tests._core_restart_soak ENTRIES CORES SEED…`` runs a site with that many
entry hosts for each seed, and restarts it on that many processor cores; 0: on all.
It prints a line for each seed.
"""

import os
import random
import sys

import curio

from bronzepoint_common.clock import monotonic
from tests._core_site import CoreSite

CORE = 9
"""Number of core hosts."""
MAX_REPLACED = 3
"""Maximum number of core hosts that are replaced before the restart."""
MAX_WIPED = 2
"""Maximum number of lost disks, the number of losses that five voters tolerate."""
MAX_PAUSE = 8.0
"""Maximum seconds between a replacement and what follows it."""


def limit_cores(count):
    """Restrict this process, and those that it starts from now on, to some cores."""
    cores = sorted(os.sched_getaffinity(0))
    if count:
        os.sched_setaffinity(0, cores[:count])
    return cores


class Soak:
    """One run.

    Args:
        site: The site.
        seed: Determines what is replaced and lost.
        cores: Number of processor cores for the restarted processes; 0: all.
    """

    def __init__(self, site, seed, cores):
        self.site = site
        self.rng = random.Random(seed)
        self.cores = cores
        self.faults = []

    async def run(self):
        """Bring the faults about; return the seconds until the core answers again."""
        for number in range(self.rng.randint(0, MAX_REPLACED)):
            former = self.rng.choice(self.site.core)
            await self.site.replace(former, f"core-{CORE + 1 + number}")
            self.faults.append(f"replaced {former}")
            await self.site.change()
            await curio.sleep(self.rng.uniform(0.0, MAX_PAUSE))
        wiped = self.rng.sample(self.site.core, self.rng.randint(0, MAX_WIPED))
        self.faults.append(f"wiped {wiped}")
        all_cores = limit_cores(self.cores)
        try:
            await self.site.restart_all(*wiped)
        finally:
            os.sched_setaffinity(0, all_cores)
        began = monotonic()
        await self.site.until_read()
        read_after = monotonic() - began
        await self.site.change()
        return read_after


async def run(seed, entries, cores):
    """Run one seed; return what was done and the seconds until the core answered.

    Raises:
        AssertionError: Not every core host read the newest manifest back.
    """
    async with CoreSite(CORE, entries) as site:
        await curio.sleep(MAX_PAUSE)
        soak = Soak(site, seed, cores)
        try:
            return soak.faults, await soak.run()
        except AssertionError as exc:
            site.keep = True
            raise AssertionError(f"{soak.faults}; logs in {site.root}") from exc


def main():
    """Run the seeds of the command line."""
    entries, cores, *seeds = map(int, sys.argv[1:])
    for seed in seeds:
        try:
            faults, seconds = curio.run(run, seed, entries, cores)
            print(seed, "ok", *faults, f"read after {seconds:.1f} s", flush=True)
        except AssertionError as exc:
            print(seed, "BROKEN", exc, flush=True)


if __name__ == "__main__":
    main()
