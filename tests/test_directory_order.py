"""Order of the hosts in the directory's answers, and hosts that are omitted."""

import unittest
from collections import Counter
from random import Random

from nose2.tools import params

from bronzepoint_node.directory import Directory
from bronzepoint_node.membership import HostInfo, HostState, RegionSummary

REGIONS = ["bkk", "sgp", "cnx"]
ANSWERS = 3000
"""Number of answers drawn, for shares that are close to their expected values."""


class FakeMembership:
    """Three regions of nine hosts each."""

    region = "bkk"

    def __init__(self) -> None:
        self.summaries = {
            "bkk": RegionSummary("bkk", True, 9),
            "sgp": RegionSummary("sgp", True, 9, trip=0.08),
            "cnx": RegionSummary("cnx", True, 9, trip=0.03),
        }
        self.infos = {
            f"{region}-{i}": HostInfo(
                f"{region}-{i}", region, "dc", f"{region}-{i}:80", HostState.live
            )
            for region in REGIONS
            for i in range(9)
        }

    def regions(self) -> dict[str, RegionSummary]:
        return self.summaries

    def hosts(self, region: str) -> list[HostInfo]:
        return [info for info in self.infos.values() if info.region == region]


class TestDirectory(unittest.TestCase):
    def setUp(self) -> None:
        self.membership = FakeMembership()
        self.directory = Directory(self.membership, 5.0, Random(7))

    def answer(self, home: str = "bkk") -> list[str]:
        return [host.name for host in self.directory.hosts_for(home).hosts]

    def regions(self, home: str) -> list[str]:
        names = [name.split("-")[0] for name in self.answer(home)]
        return list(dict.fromkeys(names))

    @params(
        ("bkk", ["bkk", "cnx", "sgp"]),
        ("sgp", ["sgp", "bkk", "cnx"]),
        ("elsewhere", ["bkk", "cnx", "sgp"]),
    )
    def test_nearest_region_first(self, home: str, regions: list[str]) -> None:
        self.assertEqual(self.regions(home), regions)
        self.assertEqual(self.directory.hosts_for(home).ttl, 5.0)

    def test_isolated_region_returns_only_its_own_hosts(self) -> None:
        """Guards against callers that wait for connections to unreachable hosts,
        although their own region could serve them.

        When a region is isolated, its hosts still have the last host lists of the other
        regions.
        """
        for region in ("sgp", "cnx"):
            self.membership.summaries[region].reachable = False
        for home in REGIONS:
            self.assertEqual(self.regions(home), ["bkk"])

    def test_draining_and_dead_are_omitted_and_suspect_ones_come_last(self) -> None:
        infos = self.membership.infos
        infos["bkk-0"].state = HostState.draining
        infos["bkk-1"].state = HostState.dead
        infos["bkk-2"].state = HostState.suspect
        for _ in range(100):
            answer = self.answer()
            self.assertNotIn("bkk-0", answer)
            self.assertNotIn("bkk-1", answer)
            self.assertEqual(answer[-1], "bkk-2")

    def test_callers_of_a_failed_host_spread_over_all_others(self) -> None:
        """Guards against cascading overload after the failure of a host.

        Its callers move to the next host of their lists. With a fixed order, or one
        sorted by load, that would be the same host for all of them.
        """
        firsts: Counter[str] = Counter()
        seconds: Counter[str] = Counter()
        for _ in range(ANSWERS):
            first, second, *_ = self.answer()
            firsts[first] += 1
            if first == "bkk-0":
                seconds[second] += 1
        self.assertLess(max(firsts.values()), 1.5 * ANSWERS / 9)
        self.assertEqual(len(seconds), 8)
        self.assertLess(max(seconds.values()), 2 * seconds.total() / 8)

    def test_loaded_host_gets_fewer_callers_but_some(self) -> None:
        self.membership.infos["bkk-0"].load = 0.8
        firsts = Counter(self.answer()[0] for _ in range(ANSWERS))
        mean = ANSWERS / 9
        self.assertLess(firsts["bkk-0"], 0.5 * mean)
        self.assertGreater(firsts["bkk-0"], 0)
