"""Answers that never end cost an entry host neither its memory nor its time."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._endless_target import EndlessTarget
from tests._platform_site import PlatformSite

MAX_GROWTH = 32 << 20
"""Maximum bytes by which the memory of a host may grow."""
DEADLINE = 3.0
"""Seconds for which callers wait for an endless answer."""
ENDLESS_REQUESTS = 4
"""Number of endless answers at a time."""
PAGE = 4096


class EndlessSite(PlatformSite):
    """A deployment whose targets never end some of their answers."""

    def make_target(self, name, ip, port):
        return EndlessTarget(name, ip, port)

    def memory(self):
        """Return the resident memory of the entry host in bytes."""
        pid = self.processes["entry"].pid
        with open(f"/proc/{pid}/statm") as file:
            return int(file.read().split()[1]) * PAGE

    async def request(self, path, request_id, wait):
        """Return the status of an answer, or the name of the error."""
        try:
            headers = {
                "X-Bronzepoint-Request-Id": request_id,
                "X-Bronzepoint-Deadline-Ms": str(round(wait * 1000)),
            }
            answer = await self.call("POST", path, b"", headers=headers, wait=wait + 4)
            return answer.status
        except HttpError as exc:
            return type(exc).__name__


class TestEndlessAnswers(unittest.TestCase):
    @params(
        ("/safe/", "body"),
        ("/safe/", "chunks"),
        ("/once/", "chunks"),
        ("/stream/", "event"),
        ("/safe/", "interim"),
        ("/stream/", "interim"),
        ("/safe/", "header"),
        ("/safe/", "header_lines"),
        ("/safe/", "blank_lines"),
        ("/safe/", "chunk_size"),
        ("/safe/", "trailers"),
    )
    def test_host_and_other_callers(self, route, way):
        """Guards against a target that sends bytes until its connection is closed."""

        async def main():
            async with EndlessSite() as site:
                before = most = site.memory()
                tasks = [
                    await curio.spawn(
                        site.request, f"{route}endless/{way}", f"e{n}", DEADLINE
                    )
                    for n in range(ENDLESS_REQUESTS)
                ]
                statuses = []
                end = monotonic() + DEADLINE
                while monotonic() < end:
                    number = len(statuses)
                    statuses.append(await site.request("/safe/a", f"s{number}", 2.0))
                    most = max(most, site.memory())
                    await curio.sleep(0.1)
                for task in tasks:
                    await task.join()

                async def all_closed():
                    return not any(target.in_progress for target in site.targets)

                await site.until(all_closed)
                begun = sum(target.begun for target in site.targets)
                return begun, most - before, set(statuses)

        begun, growth, statuses = curio.run(main)
        self.assertGreaterEqual(begun, ENDLESS_REQUESTS)
        self.assertLess(growth, MAX_GROWTH)
        self.assertEqual(statuses, {200})


if __name__ == "__main__":
    unittest.main()
