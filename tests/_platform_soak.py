"""Random faults on the platform's programs, and what callers and operators see of them.

``python -m tests._platform_soak SECONDS ROUTES SEED...`` runs one seed after the other,
with so many routes more in the catalogue.
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
ACTIONS = ("full", "fail", "reset", "break", "slow")
CATCH_UP = 6.0
"""Seconds without a fault on the core before a disk is lost: the system stands the loss
of one at once, and a host that comes back counts as lost until it has caught up."""
RECOVERY = 25.0
"""Seconds after the last fault in which everything must work again."""
IN_FORCE = 4.0
"""Seconds within which an accepted change is in force everywhere."""
PROMISES_NOT_RUN = (408, 421, 429, 503)


@dataclass
class Findings:
    """What was seen, and what of it breaks a promise."""

    broken: list[str] = field(default_factory=list)
    served: int = 0
    refused: int = 0
    faults: list[str] = field(default_factory=list)
    accepted: int = 1
    sent: dict[int, dict] = field(default_factory=dict)
    promised: set[str] = field(default_factory=set)
    once: set[str] = field(default_factory=set)
    ends: list[str] = field(default_factory=list)
    logs: str = ""


class PlatformSoak:
    """One run.

    Args:
        seed: Decides the faults and the requests.
        seconds: How long faults go on.
        routes: Routes of the catalogue that nobody asks for.
    """

    def __init__(self, seed: int, seconds: float, routes: int = 0) -> None:
        # Faults have draws of their own: they don't depend on how fast requests go.
        self._faults = random.Random(f"{seed} faults")
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._routes = large_routes(routes)
        self._numbers = itertools.count()
        self._versions = itertools.count(2)
        self._core_fault_at = monotonic()
        self._down: set[str] = set()
        self._stop = False
        self._operates = True
        self.found = Findings()

    async def run(self) -> Findings:
        """Run faults beside callers and an operator, then check what is left."""
        self.found.sent[1] = manifest(1)
        async with PlatformSite(hosts=HOSTS) as site:
            self._site = site
            async with curio.TaskGroup() as group:
                for _ in range(3):
                    await group.spawn(self._call)
                await group.spawn(self._operate)
                await group.spawn(self._read)
                await group.spawn(self._spoil)
                await group.spawn(self._start_again)
                await self._break_things()
                await self._check_end()
                self._stop = True
            # The logs of a broken run are what its cause is found from.
            site.keep = bool(self.found.broken)
            self.found.logs = str(site.root) if site.keep else ""
        return self.found

    async def _break_things(self) -> None:
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
        await curio.sleep(max(0.0, self._core_fault_at + CATCH_UP - monotonic()))
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
        # Whoever watches the processes starts it again.
        end = monotonic() + 2 * self._site.grace
        ended = self._site.processes[name]
        while ended.poll() is None:
            if monotonic() > end:
                self._broken(f"{name} still runs long after SIGTERM")
                ended.kill()
            await curio.sleep(0.05)

    async def _start_again(self) -> None:
        """Start what has ended, as the platform does."""
        while not self._stop:
            for name, process in self._site.processes.items():
                if name not in self._down and process.poll() is not None:
                    self.found.ends.append(name)
                    self._site.start(name, first=False)
            await curio.sleep(0.2)

    async def _spoil(self) -> None:
        """Let some requests fail at the targets."""
        while not self._stop:
            for target in self._site.targets:
                target.script = [self._rng.choice(ACTIONS) for _ in range(3)]
            await curio.sleep(self._rng.uniform(0.3, 1.0))

    async def _call(self) -> None:
        while not self._stop:
            await self._ask_once()
            await curio.sleep(self._rng.uniform(0.0, 0.05))

    async def _ask_once(self) -> None:
        number = next(self._numbers)
        request_id = f"soak-{number}"
        kind = self._rng.choice(("safe", "once", "stream"))
        if kind == "once":
            self.found.once.add(request_id)
        body = b"body of %d" % number
        address = self._address("entry", self._site.front)
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
                self._broken(f"{request_id}: {kind} got {answer.body!r}")
        elif answer.status in PROMISES_NOT_RUN:
            self.found.refused += 1
            if kind == "once":
                self.found.promised.add(request_id)

    async def _operate(self) -> None:
        while self._operates:
            version = next(self._versions)
            await self._put(self._document(version))
            await curio.sleep(self._rng.uniform(0.1, 0.6))

    def _document(self, version: int) -> dict:
        document = manifest(version, timeout_ms=3000 + version)
        document["routes"] += self._routes
        return document

    async def _put(self, document: dict) -> bool:
        """Send a document to any host of the core; True: it was accepted."""
        version = document["version"]
        self.found.sent[version] = document
        try:
            answer = await self._site.put(document, self._core())
        except HttpError:
            return False
        if answer.status == 200:
            self.found.accepted = max(self.found.accepted, version)
        elif answer.status < 500:
            self._broken(f"version {version} was refused: {answer.status}")
        return answer.status == 200

    async def _read(self) -> None:
        while not self._stop:
            await self._read_once()
            await curio.sleep(0.1)

    async def _read_once(self) -> bool:
        accepted = self.found.accepted
        try:
            answer = await self._site.control_call(
                "GET", "/-/config", name=self._core()
            )
        except HttpError:
            return False
        if answer.status != 200:
            return False
        document = json.loads(answer.body)
        version = document["version"]
        if version < accepted:
            self._broken(f"read {version} after {accepted} was accepted")
        if document != self.found.sent.get(version):
            self._broken(f"read another content of version {version}")
        return True

    async def _check_end(self) -> None:
        await self._until(self._read_once, "the newest manifest can be read")
        served = self.found.served

        async def is_served() -> bool:
            await self._ask_once()
            return self.found.served > served + 5

        await self._until(is_served, "requests are served again")
        # The next document would take the new route away again.
        self._operates = False
        await self._until(self._is_in_force, "a new route is known everywhere")
        runs = Counter()
        for target in self._site.targets:
            runs += target.ran
        for request_id in self.found.once:
            if runs[request_id] > 1:
                self._broken(f"{request_id} ran {runs[request_id]} times")
        for request_id in self.found.promised:
            if runs[request_id]:
                self._broken(f"{request_id} was refused, and ran")

    async def _is_in_force(self) -> bool:
        """Add a route, and tell whether each entry host knows it."""
        version = next(self._versions)
        document = self._document(version)
        path = f"/new-{version}/"
        document["routes"].append({**document["routes"][0], "path_prefix": path})
        if not await self._put(document):
            return False
        end = monotonic() + IN_FORCE
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
        end = monotonic() + RECOVERY
        while not await condition():
            if monotonic() > end:
                self._broken(f"{RECOVERY:.0f} s after the last fault not: {what}")
                return
            await curio.sleep(0.1)

    def _core(self) -> str:
        return self._rng.choice([n for n in HOSTS if n.startswith("core")])

    def _address(self, role: str, port: int) -> str:
        hosts = [ip for of_role, ip in HOSTS.values() if of_role == role]
        return f"{self._rng.choice(hosts)}:{port}"

    def _broken(self, what: str) -> None:
        self.found.broken.append(what)


def main(arguments: list[str]) -> int:
    """Run seeds and print a line for each; the status is 1 where a promise broke."""
    seconds, routes, *seeds = arguments
    broken = 0
    for seed in seeds:
        found = curio.run(PlatformSoak(int(seed), float(seconds), int(routes)).run)
        broken += bool(found.broken)
        line = {
            "seed": int(seed),
            "routes": int(routes),
            "faults": len(found.faults),
            "requests": {"served": found.served, "refused": found.refused},
            "accepted": found.accepted,
            "started again": len(found.ends),
            "broken": found.broken,
            "logs": found.logs,
        }
        print(json.dumps(line), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
