"""Selection of the entry hosts that are reported to each entry host."""

import unittest
from collections import Counter
from unittest import mock

from nose2.tools import params

from bronzepoint_node.core import _visible_hosts
from bronzepoint_node.core._visible_hosts import (
    LARGE_REGION_HOSTS,
    MAX_LOCAL_HOSTS,
    MAX_READY_PER_REGION,
    HostOrderCache,
    count_ready_hosts,
    visible_hosts,
)
from bronzepoint_node.placement._collector_selector import CollectorSelector
from bronzepoint_schema.generated.fleet import EntryHost, EntryState


def entries(per_region, state=EntryState.ready):
    return [
        EntryHost(f"{region}{number}", region, "z", "a", "f", state, 0)
        for region in "abc"
        for number in range(per_region)
    ]


class TestVisibleHosts(unittest.TestCase):
    @params(
        (3, 9),
        (MAX_READY_PER_REGION, 18),
        (MAX_LOCAL_HOSTS, MAX_LOCAL_HOSTS + 12),
        (23, LARGE_REGION_HOSTS + 12),
        (120, LARGE_REGION_HOSTS + 12),
    )
    def test_number_of_visible_hosts_is_bounded(self, count, expected):
        live = entries(count)
        visible = visible_hosts(live[0], live)
        self.assertEqual(len(visible), expected)
        self.assertEqual(len({host.name for host in visible}), expected)

    def test_leaving_host_stays_visible(self):
        """Guards against sending requests twice during a rolling restart: after SIGTERM
        a host still works on forwarded requests, but counted as lost after 3 s because
        only hosts that accept new requests were reported."""
        live = entries(23)
        visible = [host.name for host in visible_hosts(live[0], live)]
        for host in live:
            if host.name in visible[-3:] or host.region == "a":
                host.state = EntryState.leaving
        after = visible_hosts(live[0], live)
        self.assertLessEqual(set(visible), {host.name for host in after})
        ready = [host for host in after if host.state is EntryState.ready]
        self.assertEqual(len(ready), 2 * MAX_READY_PER_REGION)

    def test_hosts_of_a_large_region_agree_on_its_collector(self):
        """Guards against several collectors in one region when the core is down."""
        live = [host for host in entries(60) if host.region == "a"]
        chosen = set()
        for requester in live:
            others = {h.name for h in visible_hosts(requester, live)} - {requester.name}
            chosen.add(CollectorSelector(requester.name).choose(sorted(others), 0.0))
        self.assertEqual(len(chosen), 1)

    def test_ready_hosts_are_counted(self):
        live = entries(60)
        live[0].state = EntryState.leaving
        self.assertEqual(count_ready_hosts("a", live), 59)

    def test_visible_hosts_are_stable(self):
        """Guards against abandoning a forwarded request that its host still works on:
        the host counted as lost since the answers within 3 s listed other hosts."""
        live = entries(23)
        first = [host.name for host in visible_hosts(live[0], live)]
        again = [host.name for host in visible_hosts(live[0], live[::-1])]
        self.assertEqual(sorted(first), sorted(again))
        fewer = [host for host in live if host.name != "b7"]
        remaining = {host.name for host in visible_hosts(live[0], fewer)}
        self.assertGreaterEqual(remaining, set(first) - {"b7"})

    def test_orders_are_cached(self):
        """Guards against overloaded core hosts that lose contact with each other: with
        200 entry hosts and 2.5 queries per second from each, every answer hashed and
        sorted all hosts of the other regions."""
        live = entries(64)
        orders = HostOrderCache()
        first = visible_hosts(live[0], live, orders)
        with mock.patch.object(_visible_hosts, "rendezvous_order") as hashed:
            again = visible_hosts(live[0], live, orders)
            hashed.assert_not_called()
        self.assertEqual(again, first)
        fewer = [host for host in live if host.name != first[-1].name]
        visible = {host.name for host in visible_hosts(live[0], fewer, orders)}
        self.assertNotIn(first[-1].name, visible)
        self.assertEqual(len(visible), len(first))

    def test_hosts_of_a_region_see_different_ones(self):
        live = entries(23)
        counts = Counter(
            host.name
            for requester in live[:23]
            for host in visible_hosts(requester, live)
            if host.region == "b"
        )
        self.assertGreaterEqual(len(counts), 20)
        self.assertLessEqual(max(counts.values()), 15)


if __name__ == "__main__":
    unittest.main()
