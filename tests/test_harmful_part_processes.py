"""A part of prompts that crashes every target that runs it, with real processes."""

import unittest

import curio
from nose2.tools import params

from tests._crashing_site import CORES
from tests._harmful_part_site import (
    CONTACT,
    MAX_ARRIVALS,
    HarmfulPartSite,
    PartCallers,
)

MIN_SUCCESS_RATE = 0.5
"""Minimum share of sound requests that are answered, of those answered without it."""
SECONDS = 2 * CONTACT + 12.0
"""Time until the first crashes, and then until enough requests can be judged."""


def entries(count):
    return {f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in range(1, count + 1)}


async def judge(site, path, position):
    """Return the arrivals that count, and the share of sound requests answered."""
    async with site:
        callers = PartCallers(site, path, position)
        await callers.run(SECONDS)
        return len(callers.late_arrivals()), callers.sound_success_rate()


class TestHarmfulPart(unittest.TestCase):
    @params(
        # path, position of the part, entry hosts, entry hosts of another region
        ("/stream/part", 2, 4, ("entry-4",)),
        ("/safe/part", 1, 9, ("entry-9",)),
        ("/safe/part", 0, 4, ("entry-4",)),
    )
    def test_part_that_crashed_five_targets(self, path, position, hosts, elsewhere):
        """Guards against a part that crashes targets in requests that all differ."""
        hosts_by_name = {**CORES, **entries(hosts)}
        site = HarmfulPartSite(hosts=hosts_by_name, elsewhere=elsewhere)
        late, success_rate = curio.run(judge, site, path, position)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertGreaterEqual(success_rate, MIN_SUCCESS_RATE)

    @params("/safe/part", "/stream/part")
    def test_crash_that_ends_an_answer_without_length(self, path):
        """Guards against a crash that looks like the end of a whole answer."""
        site = HarmfulPartSite(unframed=True, hosts={**CORES, **entries(4)})
        late, success_rate = curio.run(judge, site, path, 1)
        self.assertLessEqual(late, MAX_ARRIVALS)
        self.assertGreaterEqual(success_rate, MIN_SUCCESS_RATE)


if __name__ == "__main__":
    unittest.main()
