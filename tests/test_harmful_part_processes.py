"""A part of prompts that crashes every target that runs it, with real processes."""

import json
import unittest

import curio
from nose2.tools import params

from tests._command_line import run_command
from tests._crashing_site import CORES
from tests._harmful_part_site import (
    CONTACT,
    HARMFUL_PART,
    MAX_ARRIVALS,
    HarmfulPartSite,
    PartCallers,
)
from tests._platform_site import MAX_START_WAIT

PART = f"+s/{HARMFUL_PART}"
"""Fingerprint of the harmful part."""
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

    def test_operators_list_and_release_the_part(self):
        async def main():
            site = HarmfulPartSite(hosts={**CORES, **entries(3)})
            async with site:
                callers = PartCallers(site, "/safe/part")
                hosts = f"127.0.0.11:{site.control}"

                async def standings():
                    listed = await curio.run_in_thread(
                        _command, hosts, "list", "--json"
                    )
                    requests = json.loads(listed.out)["requests"]
                    return {each["fingerprint"]: each["standing"] for each in requests}

                async def is_held():
                    return (await standings()).get(PART) == "held"

                sending = await curio.spawn(callers.run, MAX_START_WAIT)
                await site.until(is_held, MAX_START_WAIT)
                callers.stop = True
                await sending.join()
                released = await curio.run_in_thread(_command, hosts, "release", PART)
                return released, PART in await standings()

        released, is_listed = curio.run(main)
        self.assertEqual(released.status, 0, released.err)
        self.assertFalse(is_listed)


def _command(hosts, *arguments):
    return run_command("quarantine", *arguments, hosts=hosts)


if __name__ == "__main__":
    unittest.main()
