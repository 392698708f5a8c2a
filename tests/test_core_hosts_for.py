"""Which entry hosts each of them is told of."""

import unittest
from collections import Counter
from unittest import mock

from nose2.tools import params

from bronzepoint_node.core import _hosts_for
from bronzepoint_node.core._hosts_for import (
    MOST_ELSEWHERE,
    MOST_NEAR,
    NEAR_OF_MANY,
    HostOrders,
    hosts_for,
    ready_hosts,
)
from bronzepoint_node.placement._collector_choice import CollectorSelector
from bronzepoint_schema.generated.fleet import EntryHost, EntryState


def entries(per_region, state=EntryState.ready):
    return [
        EntryHost(f"{region}{number}", region, "z", "a", "f", state, 0)
        for region in "abc"
        for number in range(per_region)
    ]


class TestHostsFor(unittest.TestCase):
    @params(
        (3, 9),
        (MOST_ELSEWHERE, 18),
        (MOST_NEAR, MOST_NEAR + 12),
        (23, NEAR_OF_MANY + 12),
        (120, NEAR_OF_MANY + 12),
    )
    def test_what_a_host_hears_does_not_grow_with_the_regions(self, count, expected):
        live = entries(count)
        told = hosts_for(live[0], live)
        self.assertEqual(len(told), expected)
        self.assertEqual(len({host.name for host in told}), expected)

    def test_host_that_begins_to_leave_is_still_told(self):
        """Symptom: requests are sent twice while hosts are restarted in turn.
        Sequence: a host of another region works on a forwarded request; it gets
        SIGTERM and is named no more; after 3 s it counts as lost.
        Cause: only hosts that take new requests were named."""
        live = entries(23)
        told = [host.name for host in hosts_for(live[0], live)]
        for host in live:
            if host.name in told[-3:] or host.region == "a":
                host.state = EntryState.leaving
        after = hosts_for(live[0], live)
        self.assertLessEqual(set(told), {host.name for host in after})
        ready = [host for host in after if host.state is EntryState.ready]
        self.assertEqual(len(ready), 2 * MOST_ELSEWHERE)

    def test_hosts_of_a_large_region_agree_on_its_collector(self):
        """Guards against a region with many collectors once the core is gone."""
        live = [host for host in entries(60) if host.region == "a"]
        chosen = set()
        for asking in live:
            others = {h.name for h in hosts_for(asking, live)} - {asking.name}
            chosen.add(CollectorSelector(asking.name).choose(sorted(others), 0.0))
        self.assertEqual(len(chosen), 1)

    def test_number_of_hosts_is_told_besides(self):
        live = entries(60)
        live[0].state = EntryState.leaving
        self.assertEqual(ready_hosts("a", live), 59)

    def test_same_hosts_are_told_each_time(self):
        """Symptom: a forwarded request is given up though its host works on it.
        Sequence: the host isn't mentioned in the answers of 3 s.
        Cause: each answer named other hosts of that region."""
        live = entries(23)
        first = [host.name for host in hosts_for(live[0], live)]
        again = [host.name for host in hosts_for(live[0], live[::-1])]
        self.assertEqual(sorted(first), sorted(again))
        fewer = [host for host in live if host.name != "b7"]
        left = {host.name for host in hosts_for(live[0], fewer)}
        self.assertGreaterEqual(left, set(first) - {"b7"})

    def test_cost_of_an_answer_does_not_grow_with_the_fleet(self):
        """Symptom: hosts of the core call one another lost where 200 entry hosts ask.
        Sequence: each entry host asks 2.5 times a second, and is told a few hosts.
        Cause: for each answer all hosts of other regions were hashed and sorted."""
        live = entries(64)
        orders = HostOrders()
        first = hosts_for(live[0], live, orders)
        with mock.patch.object(_hosts_for, "rendezvous_order") as hashed:
            again = hosts_for(live[0], live, orders)
            hashed.assert_not_called()
        self.assertEqual(again, first)
        fewer = [host for host in live if host.name != first[-1].name]
        told = {host.name for host in hosts_for(live[0], fewer, orders)}
        self.assertNotIn(first[-1].name, told)
        self.assertEqual(len(told), len(first))

    def test_hosts_of_a_region_are_told_different_ones(self):
        live = entries(23)
        told = Counter(
            host.name
            for asking in live[:23]
            for host in hosts_for(asking, live)
            if host.region == "b"
        )
        self.assertGreaterEqual(len(told), 20)
        self.assertLessEqual(max(told.values()), 15)


if __name__ == "__main__":
    unittest.main()
