"""Random faults beside failing targets: all hosts together keep their retry budget.

``python -m tests._retry_soak SECONDS SEED...`` runs one seed after another.
``python -m tests._retry_soak incident CODE`` plays the restarts of the incident on the
source code in a folder.
"""

import json
import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import curio

from bronzepoint_common.clock import monotonic
from tests._failing_site import BudgetUse, FailingSite

ACTIONS = (
    ("full",),
    ("full", "reset", "fail"),
    ("reset",),
    ("fail",),
    ("break", "full"),
    ("replaced", "full"),
    ("hang", "full"),
)
"""What targets do with the requests that they fail, one row for each run."""
PATHS = (
    ("/safe/a", "/stream/a"),
    ("/safe/a", "/stream/a", "/once/a"),
)
SHAPES = ((3, 3), (4, 2), (2, 2), (6,), (1, 5), (5, 5))
"""Number of entry hosts of each region."""
RATES = (3.0, 8.0, 20.0)
"""Requests per second at each entry host."""
MAX_LATE_START = 14.0
"""Maximum seconds that a host starts after the others."""
MAX_SUSPENSION = 12.0
"""Maximum seconds that a host or a target stands still."""


@dataclass
class Findings:
    """Observations of one run.

    Attributes:
        use: Use of the retry budget in the worst window.
        worst_second: End of that window, in seconds after the callers began.
        requests: Number of requests sent.
        served: Number of requests answered with 200.
        faults: Injected faults with their second.
        logs: Folder of the logs if the budget was exceeded.
    """

    use: BudgetUse
    worst_second: float
    requests: int
    served: int
    faults: list[str] = field(default_factory=list)
    logs: str = ""


class RetrySoak:
    """One run with random faults.

    Args:
        seed: Seed of the deployment, the faults and the failures.
        seconds: Seconds for which faults are injected.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self._rng = random.Random(f"{seed} retries")
        self._seconds = seconds
        self._site = FailingSite(self._rng.choice(SHAPES), seed=seed)
        self._rate = self._rng.choice(RATES)
        self._paths = self._rng.choice(PATHS)
        self._site.actions = self._rng.choice(ACTIONS)
        self._site.failing = self._rng.choice((0.5, 0.7, 0.9))
        self._faults: list[str] = []
        self._began = 0.0

    async def run(self) -> Findings:
        """Inject faults while callers send requests, then check the budget."""
        async with self._site as site:
            self._began = monotonic()
            callers = [
                await curio.spawn(site.call_constantly, name, self._rate, self._paths)
                for name in site.entries
            ]
            async with curio.TaskGroup() as group:
                await group.spawn(self._fault_hosts)
                await group.spawn(self._suspend_targets)
            for caller in callers:
                await caller.cancel()
            return found_on(site, self._began, self._faults)

    def _note(self, fault: str) -> None:
        self._faults.append(f"{monotonic() - self._began:.1f} {fault}")

    async def _fault_hosts(self) -> None:
        """Kill and suspend hosts in overlapping series."""
        end = monotonic() + self._seconds
        faults = (
            self._restart_all,
            self._restart_entries,
            self._restart_far_apart,
            self._leave_core_without_leader,
            self._suspend_entries,
        )
        async with curio.TaskGroup() as group:
            while monotonic() < end:
                fault = self._rng.choice(faults)
                self._note(fault.__name__)
                await group.spawn(fault)
                await curio.sleep(self._rng.choice((0.5, 2.0, 4.0, 9.0, 20.0)))

    async def _restart_all(self) -> None:
        await self._restart(list(self._site.hosts))

    async def _restart_entries(self) -> None:
        await self._restart(list(self._site.entries))

    async def _restart_far_apart(self) -> None:
        """Restart all entry hosts, some of them seconds after the others."""
        names = list(self._site.entries)
        await self._restart(names, self._rng.sample(names, len(names) // 2))

    async def _restart(self, names: list[str], late: tuple | list = ()) -> None:
        self._site.kill(names)
        for name in names:
            if name not in late:
                self._start(name)
        for name in late:
            await curio.sleep(self._rng.uniform(0.0, MAX_LATE_START / len(late)))
            self._start(name)

    def _start(self, name: str) -> None:
        # Another fault may have started it already.
        if self._site.processes[name].poll() is not None:
            self._site.start(name, first=False)

    async def _leave_core_without_leader(self) -> None:
        """Restart the entry hosts while most core hosts are down."""
        down = list(self._site.cores)[1:]
        self._site.kill(down)
        await self._restart_entries()
        await curio.sleep(self._rng.uniform(0.0, MAX_SUSPENSION))
        for name in down:
            self._start(name)

    async def _suspend_entries(self) -> None:
        names = self._rng.sample(list(self._site.entries), 1)
        await self._suspend(names)

    async def _suspend(self, names: list[str]) -> None:
        for name in names:
            self._site.signal(name, signal.SIGSTOP)
        await curio.sleep(self._rng.uniform(0.5, MAX_SUSPENSION))
        for name in names:
            self._site.signal(name, signal.SIGCONT)

    async def _suspend_targets(self) -> None:
        end = monotonic() + self._seconds
        while monotonic() < end:
            await curio.sleep(self._rng.uniform(1.0, 6.0))
            chosen = self._rng.sample(self._site.targets, 2)
            self._note("suspend_targets")
            self._site.suspended_targets |= set(chosen)
            await curio.sleep(self._rng.uniform(1.0, MAX_SUSPENSION))
            self._site.suspended_targets.clear()


def found_on(site: FailingSite, began: float, faults: list[str]) -> Findings:
    """Return what was found on a site, and keep its logs if the budget is exceeded."""
    use = site.budget_use()
    site.keep = use.share > 1
    logs = str(site.root) if site.keep else ""
    worst = max(0.0, use.ends_at - began)
    return Findings(use, worst, len(site.sent), site.statuses[200], faults, logs)


@dataclass(frozen=True)
class Incident:
    """Restarts as the users recorded them, beside failing targets.

    Attributes:
        actions: What targets do with the requests that they fail.
        kills: Seconds at which all processes are killed.
        paths: Paths of the requests.
        sizes: Number of entry hosts of each region.
    """

    actions: tuple[str, ...]
    kills: tuple[float, ...] = (14.0,)
    paths: tuple[str, ...] = PATHS[0]
    sizes: tuple[int, ...] = (3, 3)

    async def play(self, code: Path) -> Findings:
        """Play it on the source code in a folder."""
        site = FailingSite(self.sizes)
        site.code = code
        async with site:
            began = monotonic()
            for name in site.entries:
                await curio.spawn(
                    site.call_constantly, name, 20.0, self.paths, daemon=True
                )
            await curio.sleep(5.0)
            site.actions, site.failing = self.actions, 2 / 3
            site.restart(["core-1"])
            for at in self.kills:
                await curio.sleep(began + at - monotonic())
                site.restart(list(site.hosts))
            await curio.sleep(14.0)
            return found_on(site, began, [f"{at} restart all" for at in self.kills])


INCIDENTS = {
    "full": Incident(("full",)),
    "mixed": Incident(("full", "reset", "fail")),
    "mixed, three restarts, also not idempotent": Incident(
        ("full", "reset", "fail"), (14.0, 18.0, 22.0), PATHS[1]
    ),
    "reset, three restarts": Incident(("reset",), (10.0, 13.0, 16.0)),
}


def _print(name: str, found: Findings) -> None:
    line = {
        "run": name,
        "retries": found.use.retries,
        "allowed": round(found.use.allowed),
        "worst window ends": round(found.worst_second, 1),
        "requests": found.requests,
        "served": found.served,
        "faults": found.faults,
        "logs": found.logs,
    }
    print(json.dumps(line), flush=True)


def main(arguments: list[str]) -> int:
    """Run the seeds or the incident; return 1 if the budget was exceeded."""
    runs = {}
    match arguments:
        case ["incident", code]:
            for name, incident in INCIDENTS.items():
                runs[name] = curio.run(incident.play, Path(code))
                _print(name, runs[name])
        case [seconds, *seeds]:
            for seed in seeds:
                runs[seed] = curio.run(RetrySoak(int(seed), float(seconds)).run)
                _print(seed, runs[seed])
    return 1 if any(found.use.share > 1 for found in runs.values()) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
