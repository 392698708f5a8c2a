"""Tests that the directory leaves out an overloaded host until it has recovered."""

import json
import signal
import unittest

import curio

from tests._platform_site import PlatformSite

HOSTS = {
    "core": ("core", "127.0.0.2"),
    "entry": ("entry", "127.0.0.3"),
    "entry2": ("entry", "127.0.0.4"),
    "entry3": ("entry", "127.0.0.5"),
}
SLOW_HOST = "entry2"
SUSPENDED_TIME, RUNNING_TIME = 0.6, 0.1
"""Seconds for which the slow host is alternately suspended and running."""


async def directory_addresses(site):
    """Return the addresses in the directory's answer; empty if it gives none."""
    answer = await site.control_call("GET", "/-/lookup?name=h.example&region=x")
    if answer.status != 200:
        return set()
    return set(json.loads(answer.body)["addresses"])


async def slow_down(site):
    """Suspend the slow host most of the time."""
    while True:
        site.signal(SLOW_HOST, signal.SIGSTOP)
        await curio.sleep(SUSPENDED_TIME)
        site.signal(SLOW_HOST, signal.SIGCONT)
        await curio.sleep(RUNNING_TIME)


class TestLaggingHost(unittest.TestCase):
    def test_directory_leaves_out_overloaded_host(self):
        """Guards against sending callers to a host that gets too little CPU time."""

        async def main():
            async with PlatformSite(hosts=HOSTS) as site:
                slow = f"{HOSTS[SLOW_HOST][1]}:{site.front}"

                async def slow_host_is_listed(expected):
                    found = await directory_addresses(site)
                    return bool(found) and (slow in found) is expected

                await site.until(lambda: slow_host_is_listed(True))
                slowing = await curio.spawn(slow_down, site)
                await site.until(lambda: slow_host_is_listed(False))
                # An unresponsive host is left out too, so check that the slow host has
                # reported the lag itself.
                lines = [line["message"] for line in site.lines(SLOW_HOST)]
                await slowing.cancel()
                site.signal(SLOW_HOST, signal.SIGCONT)
                await site.until(lambda: slow_host_is_listed(True))
                return lines

        self.assertIn("lags", curio.run(main))


if __name__ == "__main__":
    unittest.main()
