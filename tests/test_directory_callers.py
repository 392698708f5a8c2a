"""Selection of entry hosts by the caller's region and the routes' home regions."""

import unittest

from nose2.tools import params

from bronzepoint_node.directory import hosts_for_callers
from bronzepoint_schema.generated.fleet import EntryHost, EntryState

MAX_AGE = 1.8
"""Maximum seconds since the last report of a host."""
HOME_BOUND = {"a": 2, "b": 1}
"""Number of home-bound routes by region: ``a`` may serve two, ``b`` one of them."""


def host(name, age=0.0, state=EntryState.ready, lagging=False):
    return EntryHost(name, name[0], "z", name, name, state, int(age * 1000), lagging)


def returned(region, hosts, homes):
    def recent_hosts(max_age):
        return [host for host in hosts if host.age_ms <= max_age * 1000]

    return [h.name for h in hosts_for_callers(region, recent_hosts, MAX_AGE, homes)]


class TestHostsForCallers(unittest.TestCase):
    @params(
        # the caller's region is preferred, whether it is a home region or not
        ("c", ["a1", "c1"], HOME_BOUND, ["c1"]),
        # otherwise the region that may serve the most home-bound routes
        ("c", ["a1", "b1"], HOME_BOUND, ["a1"]),
        ("c", ["b1"], HOME_BOUND, ["b1"]),
        # without home-bound routes, every region
        ("c", ["a1", "b1"], {}, ["a1", "b1"]),
        ("c", [], {}, []),
    )
    def test_which_regions(self, region, names, homes, expected):
        self.assertEqual(
            returned(region, [host(name) for name in names], homes), expected
        )

    @params(("a", []), ("b", []), ("c", ["c1"]))
    def test_region_that_is_no_home_is_not_returned_to_others(self, region, expected):
        """Guards against sending callers with home-bound requests to hosts that must
        refuse them, although their home region is live.

        A core host has recent reports only from a third region, neither the caller's
        nor a home region. The fault was that the maximum number of home-bound routes
        was then zero, which every region equalled.
        """
        self.assertEqual(returned(region, [host("c1")], HOME_BOUND), expected)

    def test_hosts_with_older_reports_are_preferred_to_a_wrong_region(self):
        hosts = [host("a1", age=4.0), host("a2", age=7.0), host("c1")]
        self.assertEqual(returned("a", hosts, HOME_BOUND), ["a1"])

    @params(
        # lagging hosts, hosts returned
        ([], ["a1", "a2", "a3", "a4", "a5", "a6"]),
        (["a1", "a4"], ["a2", "a3", "a5", "a6"]),
        # at least a third is returned, lagging or not
        (["a1", "a2", "a3", "a4", "a5"], ["a6", "a1"]),
        (["a1", "a2", "a3", "a4", "a5", "a6"], ["a1", "a2"]),
    )
    def test_lagging_hosts_are_not_returned(self, lagging, expected):
        """Guards against callers that continue to use overloaded hosts."""
        names = [f"a{number}" for number in range(1, 7)]
        hosts = [host(name, lagging=name in lagging) for name in names]
        self.assertEqual(returned("a", hosts, {}), expected)

    def test_single_host_is_returned_even_if_it_lags(self):
        self.assertEqual(
            returned("a", [host("a1", lagging=True), host("b1")], {}), ["a1"]
        )

    @params(EntryState.leaving)
    def test_leaving_hosts_are_not_returned(self, state):
        hosts = [host("a1", state=state), host("b1")]
        self.assertEqual(returned("a", hosts, HOME_BOUND), ["b1"])
