"""Notices between core hosts, and load reports to other regions."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.core import CoreSync
from bronzepoint_node.core._core_sync import (
    FULL_NOTICE_HOSTS,
    MAX_CASES_PER_NOTICE,
    MAX_HOSTS_PER_NOTICE,
    NOTICE_INTERVAL,
    SCHEDULERS_NOTIFIED,
)
from bronzepoint_node.fleet import COLLECTOR_ORDER
from bronzepoint_node.fleet._registry import CORE_EXPIRY
from bronzepoint_node.placement import NoLocalTarget
from bronzepoint_node.quarantine import CrashRecord
from bronzepoint_schema.generated.fleet import CoreHost, CoreNotice, RegionLoad
from tests._scheduling_region import SLOTS, Region


class StubPeers:
    """Stub of ``Peers`` that records posted messages."""

    def __init__(self):
        self.posted = []

    def register(self, area, union, handler):
        self.handler = handler

    def post(self, peer, area, message):
        self.posted.append((peer, area, message))


def load(region, in_progress, age_ms=0):
    return RegionLoad(region, "s", 64, in_progress, 0, age_ms)


class TestLoadReports(unittest.TestCase):
    def test_load_is_sent_to_other_regions_at_once(self):
        """Guards against idle regions next to a full one whose free capacity becomes
        known half a second late."""
        links = StubPeers()
        core_sync = CoreSync("x1", "x", None, None, links)
        cores = [CoreHost("x2", "x", 0), CoreHost("y1", "y", 0), CoreHost("z1", "z", 0)]
        core_sync.registry.merge_core(cores)
        reported = [load("x", 60)]
        core_sync.report_loads(reported)
        self.assertEqual(sorted(peer for peer, *_ in links.posted), ["y1", "z1"])
        self.assertEqual(
            links.posted[0][1:], (Area.FLEET, CoreNotice([], reported, [], []))
        )
        self.assertEqual(
            [known.in_progress for known in core_sync.registry.loads()], [60]
        )

    def test_load_is_sent_to_the_scheduler_and_its_successor(self):
        links = StubPeers()
        core_sync = CoreSync("x1", "x", None, None, links)
        names = [f"{region}{n}" for region in "yz" for n in range(20)]
        core_sync.registry.merge_core(CoreHost(name, name[0], 0) for name in names)
        core_sync.report_loads([load("x", 60)])
        reported = [peer for peer, *_ in links.posted]
        for region in "yz":
            hosts = [name for name in names if name[0] == region]
            first = rendezvous_order(COLLECTOR_ORDER, hosts)[:SCHEDULERS_NOTIFIED]
            self.assertEqual([name for name in reported if name[0] == region], first)


class TestNotices(unittest.TestCase):
    @params(
        (4, MAX_CASES_PER_NOTICE), (FULL_NOTICE_HOSTS, MAX_CASES_PER_NOTICE), (106, 2)
    )
    def test_notices_are_smaller_with_many_hosts(self, others, cases):
        """Guards against links that are filled by the notices within a large core."""
        core_sync = CoreSync("x0", "x", None, None, StubPeers())
        now = monotonic()
        for number in range(100):
            crash_records = {f"q{number}": CrashRecord(now, early=True)}
            core_sync._crashes.record_crash(crash_records, "s", f"t{number}", now)
        core_sync.registry.merge_core(
            CoreHost(f"x{n}", "x", 0) for n in range(1, others + 1)
        )
        notice = core_sync._build_notice(core_sync._core(), others)
        self.assertEqual(len(notice.crashes), cases)
        self.assertEqual(len(notice.core), min(others + 1, MAX_HOSTS_PER_NOTICE))
        self.assertIn("x0", [host.name for host in notice.core])

    def test_each_core_host_is_listed_before_it_expires(self):
        """Guards against a host that counts as lost because others are listed."""
        core_sync = CoreSync("x0", "x", None, None, StubPeers())
        core_sync.registry.merge_core(CoreHost(f"x{n}", "x", 0) for n in range(1, 107))
        rounds = int(CORE_EXPIRY / NOTICE_INTERVAL)
        listed = [
            core_sync._build_notice(core_sync._core(), 106).core for _ in range(rounds)
        ]
        self.assertEqual(len({host.name for core in listed for host in core}), 107)


class TestLocalRefusal(unittest.TestCase):
    def test_refusal_carries_the_loads_of_other_regions(self):
        """Guards against refusing a request, or forwarding it to a full region, based
        on outdated loads of the other regions."""

        async def main():
            async with Region(9, 1, core=("10.1.9.1",)) as region:
                core = region.core["10.1.9.1"]
                (host, *others) = region.hosts.values()
                host.registry.merge_loads([load("y", 64, age_ms=700)])
                core.registry.merge_loads([load("y", 3, age_ms=80)])
                for number in range(SLOTS):
                    await others[number % len(others)].send(str(number))
                placement = await host.send("one too many")
                return placement, host.registry.loads()

        placement, loads = curio.run(main)
        self.assertEqual(placement, NoLocalTarget(late=False))
        known = {each.region: each.in_progress for each in loads}
        self.assertEqual(known["y"], 3)


if __name__ == "__main__":
    unittest.main()
