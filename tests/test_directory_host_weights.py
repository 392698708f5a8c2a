"""Selection of entry hosts in proportion to their capacity."""

import unittest
from collections import Counter

from nose2.tools import params

from bronzepoint_node.directory import hosts_by_capacity
from bronzepoint_platform._settings import Limits
from bronzepoint_schema.generated.fleet import EntryHost, EntryState

CALLERS = 3000


def hosts(*capacities):
    return [
        EntryHost(
            f"10.1.0.{number}", "a", "z", "x", "x", EntryState.ready, 0, False, capacity
        )
        for number, capacity in enumerate(capacities)
    ]


def returned(known, caller, now=0.0):
    return [host.name for host in hosts_by_capacity(known, caller, now)]


def shares(known):
    """Return each host's share of callers that pick one returned host at random."""
    share = Counter()
    for caller in range(CALLERS):
        names = returned(known, f"10.9.{caller // 256}.{caller % 256}")
        for name in names:
            share[name] += 1 / len(names) / CALLERS
    return [share[host.name] for host in known]


class TestHostsByCapacity(unittest.TestCase):
    def test_small_hosts_get_no_more_than_their_part(self):
        """Guards against small hosts that are overloaded while large ones idle."""
        capacities = [30, 30, 30, 60, 60, 60, 100, 100, 100, 100]
        found = shares(hosts(*capacities))
        for capacity, share in zip(capacities, found, strict=True):
            fair = capacity / sum(capacities)
            self.assertLess(abs(share - fair), 0.2 * fair)

    @params(
        ([80, 80, 80],),
        # hosts that don't report their capacity
        ([0, 0, 0],),
        ([0, 50, 50],),
    )
    def test_hosts_of_equal_size_are_all_returned(self, capacities):
        """Guards against a change for deployments whose hosts are all alike."""
        known = hosts(*capacities)
        self.assertEqual(returned(known, "10.9.0.1"), [host.name for host in known])

    def test_answers_to_one_caller_are_stable(self):
        """Guards against callers that close their connections after each answer."""
        known = hosts(30, 60, 100, 100, 100)
        first = returned(known, "10.9.0.1")
        self.assertEqual(returned(known[::-1], "10.9.0.1", now=59.0), first)

    def test_no_host_is_left_out_for_good(self):
        """Guards against hosts without callers where all share one address."""
        known = hosts(30, 60, 100, 100, 100)
        seen = set()
        for minute in range(40):
            seen.update(returned(known, "10.9.0.1", now=60.0 * minute))
        self.assertEqual(len(seen), len(known))

    @params(*range(20))
    def test_enough_hosts_are_returned(self, number):
        """Guards against a caller whose only host is dead."""
        known = hosts(1, 1, 1, 1, 1000)
        self.assertGreaterEqual(len(returned(known, f"10.9.0.{number}")), 3)

    def test_known_and_unknown_capacities_are_mixed(self):
        """Guards against hosts of an older version that get no callers."""
        known = hosts(0, 30, 100, 100)
        for number in range(50):
            self.assertIn(known[0].name, returned(known, f"10.9.0.{number}"))


class TestHostCapacity(unittest.TestCase):
    @params(
        # processor share, cores, link in Mbit/s, requests per second
        (1.0, 1, 1000.0, 250),
        (0.4, 2, 1000.0, 200),
        (1.0, 1, 9.6, 100),
        (1.0, 1, 0.0, 250),
        (0.0, 1, 10.0, 0),
    )
    def test_scarcest_resource_counts(self, share, cores, link, expected):
        """Guards against a large processor behind a narrow link, or the opposite."""
        limits = Limits(cpu_share=share, cores=cores, link_mbps=link)
        self.assertEqual(limits.request_rate, expected)
