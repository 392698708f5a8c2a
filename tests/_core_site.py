"""A core of real processes whose hosts tests can replace, wipe and restart."""

import json
import shutil

from tests._platform_site import MAX_START_WAIT, PlatformSite, manifest

SEED_COUNT = 3
"""Number of core hosts that the settings name as seeds: the first voters."""
REGIONS = ("x", "y", "z")
"""Regions of the core hosts, in turn."""


class CoreSite(PlatformSite):
    """Core hosts ``core-1``, ``core-2``, … in all regions, and some entry hosts.

    Args:
        core: Number of core hosts.
        entries: Number of entry hosts.
    """

    def __init__(self, core, entries):
        super().__init__(targets=1, hosts={})
        self._numbers = iter(range(1, 250))
        self.names = {}
        self.version = 1
        for number in range(1, core + 1):
            self.add(f"core-{number}", "core", REGIONS[(number - 1) % len(REGIONS)])
        self.seeds = self.core[:SEED_COUNT]
        for number in range(1, entries + 1):
            self.add(f"entry-{number}", "entry", "x")

    def add(self, name, role, region):
        """Add a host at an address that no other host has had."""
        address = f"127.0.1.{next(self._numbers)}"
        self.hosts[name] = (role, address)
        self.names[address] = name
        self.regions[name] = region

    @property
    def core(self):
        """Names of the core hosts that haven't been replaced."""
        return [name for name, (role, _) in self.hosts.items() if role == "core"]

    def voters(self, name):
        """Return the voters in force at a core host since its last start."""
        found = set()
        for line in self.lines(name):
            if line["message"] == "started":
                found = set()
            elif line["message"] == "voters in force":
                found = {self.names[address] for address in line["voters"]}
        return found

    async def until_voters(self, *names):
        """Wait until these hosts are the voters, and each of them knows it."""

        async def known():
            return all(self.voters(name) == set(names) for name in names)

        await self.until(known, MAX_START_WAIT)

    async def replace(self, former, name):
        """Replace a core host by an empty one at another address."""
        self.processes[former].kill()
        self.processes.pop(former).wait()
        del self.hosts[former]
        self.add(name, "core", self.regions[former])
        self.seeds = [*(seed for seed in self.seeds if seed != former), name]
        self.seeds = self.seeds[-SEED_COUNT:]
        self.start(name, first=False)

    async def restart_all(self, *wiped):
        """Kill all hosts at once and start them again, some with empty disks."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        for name in wiped:
            shutil.rmtree(self.root / f"data-{name}")
        for name in self.hosts:
            self.start(name, first=False)

    async def change(self):
        """Get another manifest accepted by one of the core hosts."""
        self.version += 1

        async def accepted():
            answers = [await self.put(manifest(self.version), n) for n in self.core[:2]]
            return any(answer.status == 200 for answer in answers)

        await self.until(accepted, MAX_START_WAIT)

    async def until_read(self):
        """Wait until the newest manifest is read from every core host."""

        async def is_read(name):
            answer = await self.control_call("GET", "/-/config", name=name)
            return (
                answer.status == 200
                and self.version == json.loads(answer.body)["version"]
            )

        async def is_read_everywhere():
            return all([await is_read(name) for name in self.core])

        await self.until(is_read_everywhere, MAX_START_WAIT)


__all__ = ["CoreSite"]
