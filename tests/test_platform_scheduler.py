"""Tests of a region of many entry hosts that a core host schedules for.

All hosts are real processes.
"""

import signal
import unittest

import curio

from tests._platform_site import PlatformSite

CORE = ("core", "127.0.0.2")
ENTRIES = [(f"entry{n}", f"127.0.0.{n}") for n in range(3, 10)]
"""Seven entry hosts: one more than report their loads to each other directly."""
HOSTS = {"core": CORE, **{name: ("entry", ip) for name, ip in ENTRIES}}


async def send_request(site, ip, number):
    """Send one request to an entry host; return the status of its answer."""
    headers = {
        "X-Bronzepoint-Request-Id": f"{ip}-{number}",
        "X-Bronzepoint-Deadline-Ms": "4000",
    }
    address = f"{ip}:{site.front}"
    answer = await site.call("POST", "/safe/a", b"body", address, headers)
    return answer.status


async def send_to_all(site, number):
    return [await send_request(site, ip, number) for _, ip in ENTRIES]


def first_tries(site, number):
    """Return the first try that each entry host logged for one round of requests.

    For a request that was refused before its first try, the whole line is returned.
    """
    return [
        line["tries"][0] if "tries" in line else str(line)
        for name, ip in ENTRIES
        for line in site.lines(name)
        if line.get("request") == f"{ip}-{number}"
    ]


def logged_staleness(site, number):
    """Return the staleness in ms that each host logged for one round of requests."""
    return [
        line["known_ms"]
        for name, ip in ENTRIES
        for line in site.lines(name)
        if line.get("request") == f"{ip}-{number}"
    ]


class TestRegionOfManyHosts(unittest.TestCase):
    def test_host_of_the_core_schedules_and_may_die(self):
        """Guards against a scheduler that is a single point of failure.

        Seven entry hosts query the scheduler, which is killed and restarted. Requests
        must be served meanwhile, and scheduled by it again afterwards.
        """

        async def main():
            async with PlatformSite(hosts=HOSTS) as site:
                collectors = [await load_collector(site, name) for name, _ in ENTRIES]
                before = await send_to_all(site, 1)
                site.signal("core", signal.SIGKILL)
                during = await send_to_all(site, 2) + await send_to_all(site, 3)
                site.processes["core"].wait()
                site.start("core", first=False)

                async def scheduled():
                    rounds = next(numbers)
                    await send_to_all(site, rounds)
                    return all(
                        "asked 127.0.0.2" in t for t in first_tries(site, rounds)
                    )

                numbers = iter(range(4, 400))
                await site.until(scheduled)
                return (
                    collectors,
                    before,
                    during,
                    first_tries(site, 1),
                    logged_staleness(site, 1),
                )

        collectors, before, during, first, ages = curio.run(main)
        self.assertEqual(collectors, ["127.0.0.2"] * 7)
        self.assertEqual(before, [200] * 7, first)
        self.assertEqual(during, [200] * 14)
        self.assertEqual(len(first), 7)
        self.assertEqual([len(each) for each in ages], [1] * 7)
        for note in first:
            self.assertIn("asked 127.0.0.2", note)
            self.assertNotIn("own choice", note)


async def load_collector(site, name):
    """Return the load collector of a host, once the host has chosen one."""

    async def decided():
        return any(x["message"] == "collector of loads" for x in site.lines(name))

    await site.until(decided)
    lines = [x for x in site.lines(name) if x["message"] == "collector of loads"]
    return lines[-1]["collector"]


if __name__ == "__main__":
    unittest.main()
