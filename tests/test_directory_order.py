"""Order of the directory's answers: nearness, spread, and who is left out."""

import unittest
from collections import Counter
from random import Random

from nose2.tools import params

from bronzepoint_node.directory import Directory
from bronzepoint_node.membership import HostInfo, HostState, RegionSummary

REGIONS = ["bkk", "sgp", "cnx"]
ANSWERS = 3000


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

    def test_isolated_region_names_its_own_hosts_only(self) -> None:
        """The region is cut off from all others.

        Symptom: callers wait for connections to hosts that can't be reached, though
        their own region could serve them. Cause: the last list of another region's
        hosts is still there.
        """
        for region in ("sgp", "cnx"):
            self.membership.summaries[region].reachable = False
        for home in REGIONS:
            self.assertEqual(self.regions(home), ["bkk"])

    def test_draining_and_dead_are_left_out_and_silent_ones_come_last(self) -> None:
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
        """A host fails and its callers go to the next host of their lists.

        Symptom: one more host is overloaded and fails, and then the next. Sequence:
        all lists have the same second host; the callers of the first move there at
        once. Cause: a fixed order, or one sorted by load.
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
