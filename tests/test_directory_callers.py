"""Which entry hosts callers are named, by their region and the homes of the routes."""

import unittest

from nose2.tools import params

from bronzepoint_node.directory import hosts_for_callers
from bronzepoint_schema.generated.fleet import EntryHost, EntryState

FRESH = 1.8
BOUND = {"a": 2, "b": 1}
"""Two home-bound routes may be served in ``a``, one of them in ``b`` too."""


def host(name, age=0.0, state=EntryState.ready, lagging=False):
    return EntryHost(name, name[0], "z", name, name, state, int(age * 1000), lagging)


def named(region, hosts, homes):
    def known(expiry):
        return [host for host in hosts if host.age_ms <= expiry * 1000]

    return [h.name for h in hosts_for_callers(region, known, FRESH, homes)]


class TestHostsForCallers(unittest.TestCase):
    @params(
        # the own region goes first, home or not
        ("c", ["a1", "c1"], BOUND, ["c1"]),
        # then the region that may serve most of what is bound
        ("c", ["a1", "b1"], BOUND, ["a1"]),
        ("c", ["b1"], BOUND, ["b1"]),
        # where nothing is bound, any region does
        ("c", ["a1", "b1"], {}, ["a1", "b1"]),
        ("c", [], {}, []),
    )
    def test_which_regions(self, region, names, homes, expected):
        self.assertEqual(named(region, [host(name) for name in names], homes), expected)

    @params(("a", []), ("b", []), ("c", ["c1"]))
    def test_region_that_is_no_home_is_never_named_to_others(self, region, expected):
        """Symptom: callers with home-bound requests are led to hosts that must refuse
        them, beside a region that lives.
        Sequence: a host of the core hears of no host of the caller's region and of none
        in a home; only a third region's hosts are fresh.
        Cause: of no homes served the most is zero, and zero fitted every region."""
        self.assertEqual(named(region, [host("c1")], BOUND), expected)

    def test_hosts_heard_of_a_while_ago_are_better_than_a_wrong_region(self):
        hosts = [host("a1", age=4.0), host("a2", age=7.0), host("c1")]
        self.assertEqual(named("a", hosts, BOUND), ["a1"])

    @params(
        # hosts that lag, who is named
        ([], ["a1", "a2", "a3", "a4", "a5", "a6"]),
        (["a1", "a4"], ["a2", "a3", "a5", "a6"]),
        # a third is named, whatever lags
        (["a1", "a2", "a3", "a4", "a5"], ["a6", "a1"]),
        (["a1", "a2", "a3", "a4", "a5", "a6"], ["a1", "a2"]),
    )
    def test_hosts_that_lag_are_not_named(self, lagging, expected):
        """Guards against callers that go on to come to hosts that don't keep up."""
        names = [f"a{number}" for number in range(1, 7)]
        hosts = [host(name, lagging=name in lagging) for name in names]
        self.assertEqual(named("a", hosts, {}), expected)

    def test_single_host_is_named_though_it_lags(self):
        self.assertEqual(named("a", [host("a1", lagging=True), host("b1")], {}), ["a1"])

    @params(EntryState.leaving)
    def test_leaving_hosts_are_not_named(self, state):
        hosts = [host("a1", state=state), host("b1")]
        self.assertEqual(named("a", hosts, BOUND), ["b1"])
