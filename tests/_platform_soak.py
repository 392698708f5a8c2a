"""Random faults on the platform's programs, with checks by callers and operators.

``python -m tests._platform_soak SECONDS ROUTES SEED...`` runs one seed after another,
with ROUTES additional routes in the catalogue.
"""

import itertools
import json
import random
import shutil
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._large_manifest import large_routes
from tests._platform_site import PlatformSite, manifest

HOSTS = {
    **{f"core-{n}": ("core", f"127.0.0.{10 + n}") for n in (1, 2, 3)},
    **{f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in (1, 2)},
}
STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))
TARGET_ACTIONS = ("full", "fail", "reset", "break", "slow")
CATCH_UP_TIME = 6.0
"""Seconds without a fault on the core before a disk is wiped.

The system tolerates the loss of one host at a time, and a restarted host counts as lost
until it has caught up.
"""
MAX_RECOVERY_TIME = 25.0
"""Seconds after the last fault within which everything must work again."""
MAX_PROPAGATION_TIME = 4.0
"""Seconds within which an accepted change takes effect on all entry hosts."""
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that the request did not run."""


@dataclass
class Findings:
    """Observations of one run.

    Attributes:
        violations: Descriptions of broken guarantees.
        served: Number of requests served.
        refused: Number of requests refused.
        faults: Names of the injected faults.
        accepted: Highest accepted version of the catalogue.
        sent_documents: Documents sent by the operator, by version.
        refused_as_not_run: Ids of non-repeatable requests refused as not run.
        non_repeatable: Ids of all non-repeatable requests.
        restarts: Names of hosts that ended and were restarted.
        logs: Folder of the logs if a guarantee was broken.
    """

    violations: list[str] = field(default_factory=list)
    served: int = 0
    refused: int = 0
    faults: list[str] = field(default_factory=list)
    accepted: int = 1
    sent_documents: dict[int, dict] = field(default_factory=dict)
    refused_as_not_run: set[str] = field(default_factory=set)
    non_repeatable: set[str] = field(default_factory=set)
    restarts: list[str] = field(default_factory=list)
    logs: str = ""


class PlatformSoak:
    """One soak run.

    Args:
        seed: Seed for the faults and the requests.
        seconds: Seconds for which faults are injected.
        routes: Number of additional, unused routes in the catalogue.
    """

    def __init__(self, seed: int, seconds: float, routes: int = 0) -> None:
        # Faults have their own generator so that they don't depend on request timing.
        self._faults = random.Random(f"{seed} faults")
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._routes = large_routes(routes)
        self._numbers = itertools.count()
        self._versions = itertools.count(2)
        self._core_fault_at = monotonic()
        self._down: set[str] = set()
        self._stop = False
        self._operator_active = True
        self.found = Findings()

    async def run(self) -> Findings:
        """Inject faults while callers and an operator are active, then check."""
        self.found.sent_documents[1] = manifest(1)
        async with PlatformSite(hosts=HOSTS) as site:
            self._site = site
            async with curio.TaskGroup() as group:
                for _ in range(3):
                    await group.spawn(self._run_caller)
                await group.spawn(self._run_operator)
                await group.spawn(self._run_reader)
                await group.spawn(self._inject_target_faults)
                await group.spawn(self._restart_ended)
                await self._inject_host_faults()
                await self._check_end()
                self._stop = True
            # The logs are needed to find the cause of a failure.
            site.keep = bool(self.found.violations)
            self.found.logs = str(site.root) if site.keep else ""
        return self.found

    async def _inject_host_faults(self) -> None:
        end = monotonic() + self._seconds
        while monotonic() < end:
            await curio.sleep(self._faults.uniform(0.2, 1.5))
            fault = self._faults.choice(
                (
                    self._kill,
                    self._kill,
                    self._kill_core,
                    self._pause,
                    self._terminate,
                    self._wipe,
                )
            )
            self.found.faults.append(fault.__name__)
            await fault()
            self._core_fault_at = monotonic()

    async def _kill(self) -> None:
        await self._restart([self._faults.choice(list(HOSTS))])

    async def _kill_core(self) -> None:
        await self._restart([name for name in HOSTS if name.startswith("core")])

    async def _restart(self, names: list[str], before=lambda name: None) -> None:
        self._down = set(names)
        for name in names:
            self._site.signal(name, signal.SIGKILL)
        for name in names:
            self._site.processes[name].wait()
            before(name)
        await curio.sleep(self._faults.uniform(0.0, 0.8))
        for name in names:
            self._site.start(name, first=False)
        self._down = set()

    async def _wipe(self) -> None:
        await curio.sleep(max(0.0, self._core_fault_at + CATCH_UP_TIME - monotonic()))
        name = self._faults.choice([n for n in HOSTS if n.startswith("core")])
        await self._restart(
            [name], lambda n: shutil.rmtree(self._site.root / f"data-{n}")
        )

    async def _pause(self) -> None:
        name = self._faults.choice(list(HOSTS))
        self._site.signal(name, signal.SIGSTOP)
        await curio.sleep(self._faults.uniform(0.3, 2.5))
        self._site.signal(name, signal.SIGCONT)

    async def _terminate(self) -> None:
        name = self._faults.choice(list(HOSTS))
        self._site.signal(name, signal.SIGTERM)
        # The `_restart_ended` task starts it again.
        end = monotonic() + 2 * self._site.grace
        ended = self._site.processes[name]
        while ended.poll() is None:
            if monotonic() > end:
                self._report_violation(f"{name} still runs long after SIGTERM")
                ended.kill()
            await curio.sleep(0.05)

    async def _restart_ended(self) -> None:
        """Restart hosts that have ended, as the platform does."""
        while not self._stop:
            for name, process in self._site.processes.items():
                if name not in self._down and process.poll() is not None:
                    self.found.restarts.append(name)
                    self._site.start(name, first=False)
            await curio.sleep(0.2)

    async def _inject_target_faults(self) -> None:
        """Make some requests fail at the targets."""
        while not self._stop:
            for target in self._site.targets:
                target.script = [self._rng.choice(TARGET_ACTIONS) for _ in range(3)]
            await curio.sleep(self._rng.uniform(0.3, 1.0))

    async def _run_caller(self) -> None:
        while not self._stop:
            await self._send_request()
            await curio.sleep(self._rng.uniform(0.0, 0.05))

    async def _send_request(self) -> None:
        number = next(self._numbers)
        request_id = f"soak-{number}"
        kind = self._rng.choice(("safe", "once", "stream"))
        if kind == "once":
            self.found.non_repeatable.add(request_id)
        body = b"body of %d" % number
        address = self._random_address("entry", self._site.front)
        headers = {
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Deadline-Ms": "3000",
        }
        try:
            answer = await self._site.call(
                "POST", f"/{kind}/a", body, address, headers, wait=4.0
            )
        except HttpError:
            return
        wanted = STREAM if kind == "stream" else body
        if answer.status == 200:
            self.found.served += 1
            if answer.body not in (wanted, b"slow"):
                self._report_violation(f"{request_id}: {kind} got {answer.body!r}")
        elif answer.status in NOT_RUN_STATUSES:
            self.found.refused += 1
            if kind == "once":
                self.found.refused_as_not_run.add(request_id)

    async def _run_operator(self) -> None:
        while self._operator_active:
            version = next(self._versions)
            await self._put_manifest(self._document(version))
            await curio.sleep(self._rng.uniform(0.1, 0.6))

    def _document(self, version: int) -> dict:
        document = manifest(version, timeout_ms=3000 + version)
        document["routes"] += self._routes
        return document

    async def _put_manifest(self, document: dict) -> bool:
        """Send a document to a random core host; return whether it was accepted."""
        version = document["version"]
        self.found.sent_documents[version] = document
        try:
            answer = await self._site.put(document, self._random_core_host())
        except HttpError:
            return False
        if answer.status == 200:
            self.found.accepted = max(self.found.accepted, version)
        elif answer.status < 500:
            self._report_violation(f"version {version} was refused: {answer.status}")
        return answer.status == 200

    async def _run_reader(self) -> None:
        while not self._stop:
            await self._read_manifest()
            await curio.sleep(0.1)

    async def _read_manifest(self) -> bool:
        accepted = self.found.accepted
        try:
            answer = await self._site.control_call(
                "GET", "/-/config", name=self._random_core_host()
            )
        except HttpError:
            return False
        if answer.status != 200:
            return False
        document = json.loads(answer.body)
        version = document["version"]
        if version < accepted:
            self._report_violation(f"read {version} after {accepted} was accepted")
        if document != self.found.sent_documents.get(version):
            self._report_violation(f"read another content of version {version}")
        return True

    async def _check_end(self) -> None:
        await self._until(self._read_manifest, "the newest manifest can be read")
        served = self.found.served

        async def is_served() -> bool:
            await self._send_request()
            return self.found.served > served + 5

        await self._until(is_served, "requests are served again")
        # A further change by the operator would remove the new route again.
        self._operator_active = False
        await self._until(
            self._new_route_takes_effect, "a new route is known everywhere"
        )
        runs = Counter()
        for target in self._site.targets:
            runs += target.ran
        for request_id in self.found.non_repeatable:
            if runs[request_id] > 1:
                self._report_violation(f"{request_id} ran {runs[request_id]} times")
        for request_id in self.found.refused_as_not_run:
            if runs[request_id]:
                self._report_violation(f"{request_id} was refused as not run, but ran")

    async def _new_route_takes_effect(self) -> bool:
        """Add a route and return whether every entry host serves it in time."""
        version = next(self._versions)
        document = self._document(version)
        path = f"/new-{version}/"
        document["routes"].append({**document["routes"][0], "path_prefix": path})
        if not await self._put_manifest(document):
            return False
        end = monotonic() + MAX_PROPAGATION_TIME
        waiting = {ip for role, ip in HOSTS.values() if role == "entry"}
        while waiting and monotonic() < end:
            for ip in sorted(waiting):
                if await self._is_known(f"{ip}:{self._site.front}", f"{path}a"):
                    waiting.discard(ip)
            await curio.sleep(0.1)
        return not waiting

    async def _is_known(self, address: str, path: str) -> bool:
        try:
            answer = await self._site.call("POST", path, b"", address)
        except HttpError:
            return False
        return answer.status not in (404, 503)

    async def _until(self, condition, what: str) -> None:
        end = monotonic() + MAX_RECOVERY_TIME
        while not await condition():
            if monotonic() > end:
                self._report_violation(
                    f"not within {MAX_RECOVERY_TIME:.0f} s after the last fault: {what}"
                )
                return
            await curio.sleep(0.1)

    def _random_core_host(self) -> str:
        return self._rng.choice([n for n in HOSTS if n.startswith("core")])

    def _random_address(self, role: str, port: int) -> str:
        hosts = [ip for of_role, ip in HOSTS.values() if of_role == role]
        return f"{self._rng.choice(hosts)}:{port}"

    def _report_violation(self, what: str) -> None:
        self.found.violations.append(what)


def main(arguments: list[str]) -> int:
    """Run the seeds and print a line for each; return 1 if a guarantee was broken."""
    seconds, routes, *seeds = arguments
    failed_seeds = 0
    for seed in seeds:
        found = curio.run(PlatformSoak(int(seed), float(seconds), int(routes)).run)
        failed_seeds += bool(found.violations)
        line = {
            "seed": int(seed),
            "routes": int(routes),
            "faults": len(found.faults),
            "requests": {"served": found.served, "refused": found.refused},
            "accepted": found.accepted,
            "started again": len(found.restarts),
            "broken": found.violations,
            "logs": found.logs,
        }
        print(json.dumps(line), flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
