"""A region of many entry hosts, as processes: a host of the core schedules for them."""

import signal
import unittest

import curio

from tests._platform_site import PlatformSite

CORE = ("core", "127.0.0.2")
ENTRIES = [(f"entry{n}", f"127.0.0.{n}") for n in range(3, 10)]
"""Seven: one more than tell each other directly."""
HOSTS = {"core": CORE, **{name: ("entry", ip) for name, ip in ENTRIES}}


async def ask(site, ip, number):
    """Send one request to an entry host; return the status of its answer."""
    headers = {
        "X-Bronzepoint-Request-Id": f"{ip}-{number}",
        "X-Bronzepoint-Deadline-Ms": "4000",
    }
    address = f"{ip}:{site.front}"
    answer = await site.call("POST", "/safe/a", b"body", address, headers)
    return answer.status


async def ask_all(site, number):
    return [await ask(site, ip, number) for _, ip in ENTRIES]


def tries(site, number):
    """Return what each entry host has logged of one round of requests."""
    return [
        line["tries"][0]
        for name, ip in ENTRIES
        for line in site.lines(name)
        if line.get("request") == f"{ip}-{number}"
    ]


def known(site, number):
    """Return how old each host's line says that what it went by may have been."""
    return [
        line["known_ms"]
        for name, ip in ENTRIES
        for line in site.lines(name)
        if line.get("request") == f"{ip}-{number}"
    ]


class TestRegionOfManyHosts(unittest.TestCase):
    def test_host_of_the_core_schedules_and_may_die(self):
        """Symptom: a region stands still, or its targets are overrun, with one host.
        Sequence: seven entry hosts ask the scheduler; it is killed, and started anew.
        Cause: all choices depend on it."""

        async def main():
            async with PlatformSite(hosts=HOSTS) as site:
                followed = [await _follows(site, name) for name, _ in ENTRIES]
                before = await ask_all(site, 1)
                site.signal("core", signal.SIGKILL)
                during = await ask_all(site, 2) + await ask_all(site, 3)
                site.processes["core"].wait()
                site.start("core", first=False)

                async def scheduled():
                    rounds = next(numbers)
                    await ask_all(site, rounds)
                    return all("asked 127.0.0.2" in t for t in tries(site, rounds))

                numbers = iter(range(4, 400))
                await site.until(scheduled)
                return followed, before, during, tries(site, 1), known(site, 1)

        followed, before, during, first, ages = curio.run(main)
        self.assertEqual(followed, ["127.0.0.2"] * 7)
        self.assertEqual(before, [200] * 7)
        self.assertEqual(during, [200] * 14)
        self.assertEqual(len(first), 7)
        self.assertEqual([len(each) for each in ages], [1] * 7)
        for note in first:
            self.assertIn("asked 127.0.0.2", note)
            self.assertNotIn("own choice", note)


async def _follows(site, name):
    """Return whom a host follows, once all seven know of one another."""

    async def decided():
        return any(x["message"] == "collector of loads" for x in site.lines(name))

    await site.until(decided)
    lines = [x for x in site.lines(name) if x["message"] == "collector of loads"]
    return lines[-1]["collector"]


if __name__ == "__main__":
    unittest.main()
