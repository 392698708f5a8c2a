"""Targets that ask hosts for rest, or say that they leave, with real processes."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from tests._resting_site import (
    DRAIN,
    MAX_ARRIVALS_IN_REST,
    RestingCallers,
    RestingSite,
)

SECONDS = 8.0
"""Seconds for which a target turns hosts away."""
MIN_SUCCESS_RATE = 0.95
"""Minimum share of requests that are answered while other targets have room."""


class TestRest(unittest.TestCase):
    @params(
        # path, entry hosts, rest
        ("/safe/rest", 3, "3"),
        ("/stream/rest", 3, "1.5"),
        ("/once/rest", 8, "6.25"),
    )
    def test_target_that_asks_for_rest(self, path, entries, rest):
        """Guards against sending to a target that has asked this host for rest."""

        async def main():
            async with RestingSite(entries) as site:
                callers = RestingCallers(site, path)
                site.targets[0].rest = rest
                await callers.run(SECONDS)
                most = site.targets[0].most_arrivals_in_rest(float(rest))
                return most, callers.success_rate()

        most, success_rate = curio.run(main)
        self.assertLessEqual(most, MAX_ARRIVALS_IN_REST)
        self.assertGreaterEqual(success_rate, MIN_SUCCESS_RATE)

    def test_all_targets_ask_for_rest(self):
        """Guards against callers that wait, or return too soon, while no target serves.

        Also against targets that aren't used again afterwards.
        """

        async def main():
            async with RestingSite() as site:
                callers = RestingCallers(site, "/safe/rest")
                for target in site.targets:
                    target.rest = "6"
                await callers.run(3.0)
                (name, address), *_ = site.entries().items()
                asked_at = monotonic()
                refused = await callers.ask(name, address)
                rests_until = min(
                    max(at for at, host in target.turned_away if host == name) + 6
                    for target in site.targets
                )
                for target in site.targets:
                    target.rest = ""
                most = max(target.most_arrivals_in_rest(6) for target in site.targets)

                async def is_served():
                    return (await callers.ask(name, address)).status == 200

                await site.until(is_served)
                lines = site.lines("entry-1")
                return refused, rests_until - asked_at, most, lines

        refused, rests_for, most, lines = curio.run(main)
        self.assertEqual(refused.status, 503)
        self.assertGreaterEqual(float(refused.headers["retry-after"]), rests_for - 0.5)
        self.assertLessEqual(most, MAX_ARRIVALS_IN_REST)
        resting = [line for line in lines if line.get("outcome") == "refused_resting"]
        self.assertTrue(resting)
        self.assertTrue(any(line["sends"] == 0 for line in resting))


class TestLeaving(unittest.TestCase):
    def test_target_that_says_it_leaves(self):
        """Guards against sending to a target that leaves as its list entry is old."""

        async def main():
            async with RestingSite() as site:
                callers = RestingCallers(site, "/safe/leave")
                target = site.targets[0]
                target.leaving = True
                began = monotonic()
                await callers.run(DRAIN + 2.0)
                late = [at for at, _ in target.arrivals if at > began + DRAIN + 0.5]
                return len(target.arrivals), len(late), callers.success_rate()

        arrivals, late, success_rate = curio.run(main)
        self.assertGreater(arrivals, 0)
        self.assertEqual(late, 0)
        self.assertEqual(success_rate, 1.0)


if __name__ == "__main__":
    unittest.main()
