"""Tests of safe retries and of the retry budget."""

import math
import unittest

from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy import EntryRetries, RegionHosts
from bronzepoint_node.policy._entry_retries import safe_to_retry
from bronzepoint_schema.generated.decisions import RetryReason

SLACK = 50
"""Retries that all hosts may make together in a window without any answer."""
WINDOW = 10.0
"""Seconds of that window."""
LONE_HOST = RegionHosts(["h0"], ["h0"])


def entry_retries(share, slack, started_at=-math.inf):
    return EntryRetries(share, slack, started_at, Metrics(None))


def take(
    retries,
    reason=RetryReason.target_error,
    region="bkk",
    hosts=LONE_HOST,
    now=0.0,
):
    return retries.take("chat", region, reason, hosts, now)


class TestRetries(unittest.TestCase):
    @params(
        (RetryReason.connect_failed, False, True),
        (RetryReason.stale_connection, False, True),
        (RetryReason.target_overloaded, False, True),
        (RetryReason.target_leaving, False, True),
        (RetryReason.region_refused, False, True),
        (RetryReason.target_error, False, False),
        (RetryReason.target_error, True, True),
    )
    def test_safe(self, reason, idempotent, expected):
        self.assertEqual(safe_to_retry(reason, idempotent), expected)

    def test_failing_region_gets_no_multiple_of_its_load(self):
        """Retries must not multiply the load of an overloaded region.

        Every target answers with an error. If each request were tried three times, the
        region would get three times the load that overloaded it.
        """
        retries = entry_retries(share=0.1, slack=5)
        tries = 0
        for _ in range(1000):
            tries += 1
            for _ in range(2):
                if not take(retries):
                    break
                tries += 1
        self.assertLessEqual(tries, 1000 + 5)

    def test_budget_follows_the_answers(self):
        retries = entry_retries(share=0.1, slack=0)
        self.assertFalse(take(retries))
        for _ in range(14):
            retries.record_answered("chat", "bkk", 0.0)
        self.assertTrue(take(retries))
        self.assertFalse(take(retries))
        # Each region has a budget of its own.
        self.assertFalse(take(retries, region="sgp"))
        retries = entry_retries(share=0.0, slack=5)
        self.assertTrue(take(retries))
        self.assertTrue(take(retries, region="sgp"))

    def test_tries_that_cost_nothing_are_not_counted(self):
        retries = entry_retries(share=0.0, slack=0)
        for _ in range(50):
            self.assertTrue(take(retries, RetryReason.connect_failed))

    @params(
        # hosts of a region, regions, processes of each host, seconds between two starts
        (9, 1, 1, 0.0),
        (3, 3, 4, 2.0),
        (30, 12, 1, 0.0),
        (2, 2, 5, 11.0),
    )
    def test_hosts_and_their_processes_share_one_budget(
        self, hosts, regions, processes, spacing
    ):
        """Guards against a whole budget for each host and each of its processes."""
        known = RegionHosts([], [f"h{n}" for n in range(hosts)], regions)
        taken = []
        for start in (number * spacing for number in range(processes)):
            for _ in range(hosts * regions):
                retries = entry_retries(0.1, SLACK, started_at=start)
                for second in range(max(1, round(spacing))):
                    now = start + second
                    while take(retries, hosts=known, now=now):
                        taken.append(now)
        for end in taken:
            in_window = sum(end - WINDOW < at <= end for at in taken)
            self.assertLessEqual(in_window, SLACK)

    def test_running_hosts_share_the_slack(self):
        known = RegionHosts([], ["h0", "h1", "h2"], 3)
        each = [entry_retries(0.1, SLACK) for _ in range(9)]
        taken = 0
        for retries in each:
            while take(retries, hosts=known):
                taken += 1
        self.assertGreater(taken, 0)
        self.assertLessEqual(taken, SLACK)


if __name__ == "__main__":
    unittest.main()
