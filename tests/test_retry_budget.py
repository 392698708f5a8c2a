"""The retry budget of one host, and the sum over hosts, processes and regions."""

import math
import unittest

from nose2.tools import params

from bronzepoint_node.retries import RetryBudget
from bronzepoint_node.retries._retry_budget import (
    DISCOVERY_TIME,
    REQUEST_VALIDITY,
    WINDOW,
)

RATIO = 0.2
SLACK = 50
STEP = 0.05
"""Seconds between two steps of a simulated load."""


def budget(ratio=RATIO, slack=SLACK, hosts=1, regions=1, started_at=-math.inf):
    found = RetryBudget(ratio, slack, regions, started_at)
    found.note_hosts(hosts)
    return found


def take_all(retry_budget, now):
    """Take retries until one is denied, and return their number."""
    taken = 0
    while retry_budget.take("s", [], now):
        taken += 1
    return taken


class TestShare(unittest.TestCase):
    @params(
        # requests, hosts, regions, granted: 0.75 of a fifth of the requests, and the
        # host's share of 0.7 of the slack
        (0, 1, 1, 35),
        (0, 5, 1, 7),
        (100, 5, 1, 22),
        (100, 1, 1, 50),
        (0, 1, 5, 7),
        (100, 5, 3, 17),
    )
    def test_retries_in_one_window(self, requests, hosts, regions, expected):
        retry_budget = budget(hosts=hosts, regions=regions)
        for _ in range(requests):
            retry_budget.note_request("s", 0.0)
        self.assertEqual(take_all(retry_budget, 1.0), expected)

    def test_partitioned_host_gets_no_larger_share(self):
        """Guards against more retries than the platform grants in a network partition.

        This happens when the slack is divided by the number of hosts that are visible
        now: a host without contact to others uses all of it, and so do the hosts on the
        other side.
        """
        retry_budget = budget(ratio=0.0, hosts=10)
        retry_budget.note_hosts(1)
        self.assertEqual(take_all(retry_budget, 0.0), 3)

    def test_host_without_a_host_count_takes_no_slack(self):
        """Guards against more retries than the platform grants after a full restart.

        190 hosts start together, and targets refuse their first requests. A host that
        does not know of the others yet would use the slack of all.
        """
        retry_budget = budget(slack=400, hosts=0)
        for _ in range(20):
            retry_budget.note_request("s", 0.0)
        self.assertEqual(take_all(retry_budget, 0.0), 3)
        retry_budget.note_hosts(190)
        self.assertEqual(take_all(retry_budget, 0.0), 1)

    def test_retries_count_over_a_sliding_window(self):
        retry_budget = budget(ratio=0.0, slack=10)
        taken = [take_all(retry_budget, now) for now in (0.0, 9.9, 10.1)]
        self.assertEqual(taken, [7, 0, 7])

    def test_requests_allow_retries_for_a_limited_time(self):
        """Guards against a host that saves retries for longer than its next process
        can allow for."""
        retry_budget = budget(slack=0)
        for _ in range(100):
            retry_budget.note_request("s", 0.0)
        late = REQUEST_VALIDITY + 0.1
        self.assertEqual(take_all(retry_budget, late), 0)

    def test_a_starting_process_takes_no_slack(self):
        """Guards against the slack being used once by each process of a host."""
        retry_budget = budget(ratio=0.0, started_at=0.0)
        slack_from = WINDOW + DISCOVERY_TIME
        times = (0.0, WINDOW, slack_from - 0.1, slack_from)
        taken = [take_all(retry_budget, now) for now in times]
        self.assertEqual(taken, [0, 0, 0, 35])


def simulate(hosts, rate, kills, seconds, failing):
    """Return the times of all retries and requests of hosts that are killed together.

    Args:
        hosts: Number of hosts in each of the regions.
        rate: Requests per second at each host.
        kills: Times at which all processes are replaced.
        seconds: Length of the simulation.
        failing: Times between which each request is retried as often as allowed.
    """
    retries, requests = [], []
    remaining = sorted(kills)
    processes = [budget(hosts=n, regions=len(hosts)) for n in hosts for _ in range(n)]
    due = [0.0] * len(processes)
    for step in range(round(seconds / STEP)):
        now = step * STEP
        if remaining and now >= remaining[0]:
            started = remaining.pop(0)
            processes = [
                budget(hosts=n, regions=len(hosts), started_at=started)
                for n in hosts
                for _ in range(n)
            ]
        for number, process in enumerate(processes):
            due[number] += rate * STEP
            while due[number] >= 1.0:
                due[number] -= 1.0
                process.note_request("s", now)
                requests.append(now)
            if failing[0] <= now < failing[1]:
                retries += [now] * take_all(process, now)
    return retries, requests


def most_over_limit(retries, requests, slack=SLACK):
    """Return the largest excess over the platform's limit in any window."""
    worst = float("-inf")
    for end in sorted(set(retries)):
        made = sum(end - WINDOW < at <= end for at in retries)
        sent = max(
            sum(end - WINDOW - shift < at <= end - shift for at in requests)
            for shift in (0.0, WINDOW / 2, WINDOW)
        )
        worst = max(worst, made - RATIO * sent - slack)
    return worst


class TestSumOfAllProcesses(unittest.TestCase):
    @params(
        # hosts by region, requests a second at each, kills, first failure
        ((3,), 10.0, (20.0, 22.5, 25.0), 18.0),
        ((2, 2, 2), 15.0, (20.0, 23.0, 26.0), 18.0),
        ((2, 2, 2), 40.0, (20.0,), 19.0),
        ((2, 2, 2), 40.0, (20.0, 20.5, 21.0, 24.0, 28.0), 19.9),
        ((20, 20, 20), 3.0, (20.0, 23.0, 26.0), 19.0),
        ((9,), 2.0, tuple(20.0 + n for n in range(15)), 10.0),
        ((6, 2, 1), 12.0, (20.0, 29.0), 19.9),
        ((2, 2, 2), 15.0, (), 18.0),
    )
    def test_hosts_killed_in_series_share_one_budget(
        self, hosts, rate, kills, fail_from
    ):
        """Guards against a whole budget for each process of a host that is killed."""
        failing = (fail_from, 45.0)
        retries, requests = simulate(hosts, rate, kills, 45.0, failing)
        self.assertGreater(len(retries), 0)
        self.assertLessEqual(most_over_limit(retries, requests), 0.0)

    @params(
        # hosts by region, seconds between two starts, seconds until the others know of
        # a new host, first failure
        ((6, 6), 1.0, 0.5, 0.0),
        ((10, 10, 10), 0.4, 0.5, 0.0),
        ((2,), 12.0, 4.0, 15.9),
        ((4, 2, 3), 3.0, 4.0, 0.0),
        ((4, 2, 3), 11.0, 4.0, 14.0),
        ((1, 5), 30.0, 4.0, 33.0),
        ((10, 10, 10), 0.0, 4.0, 0.0),
        ((20, 20, 20), 0.0, 4.0, 0.0, 400),
    )
    def test_hosts_that_start_far_apart_share_the_slack(
        self, sizes, spacing, delay, fail_from, slack=SLACK
    ):
        """Guards against a host that starts, sees few others, and takes their part of
        the slack."""
        starts = [
            (number * spacing, region)
            for region, size in enumerate(sizes)
            for number in range(size)
        ]
        processes = [
            budget(0.0, slack, hosts=0, regions=len(sizes), started_at=start)
            for start, _ in starts
        ]
        retries = []
        for step in range(round((max(starts)[0] + 4 * WINDOW) / STEP)):
            now = step * STEP
            for (start, region), process in zip(starts, processes, strict=True):
                if now < max(start, fail_from):
                    continue
                process.note_hosts(
                    1
                    + sum(r == region and s <= now - delay for s, r in starts)
                    - (start <= now - delay)
                )
                retries += [now] * take_all(process, now)
        self.assertGreater(len(retries), 0)
        self.assertLessEqual(most_over_limit(retries, [], slack), 0.0)

    def test_hosts_started_in_a_partition_share_the_slack(self):
        """Guards against a slack that each part of a partition divides anew.

        All hosts are restarted while the regions can't reach each other, so each host
        has only seen those of its own region.
        """
        sizes = (2, 3, 4)
        processes = [
            budget(0.0, SLACK, hosts=n, regions=len(sizes), started_at=0.0)
            for n in sizes
            for _ in range(n)
        ]
        now = 3 * WINDOW
        self.assertLessEqual(sum(take_all(p, now) for p in processes), SLACK)


if __name__ == "__main__":
    unittest.main()
