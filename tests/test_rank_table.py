"""Ranks of requests by the priorities of organisation and route."""

import itertools
import unittest

import msgspec
from nose2.tools import params

from bronzepoint_node.fleet import LATE_RANKS, MAX_RANK, RankTable
from bronzepoint_node.placement._engine_load import EngineLoad, OwnRun
from bronzepoint_schema.generated.target_loads import TargetLoad


class TestRanks(unittest.TestCase):
    @params(((), (0, 2)), ((None, None), (0, 1, 2)))
    def test_route_alone_decides_without_organisations(self, organisations, routes):
        """Guards against changed ranks in catalogues whose organisations have no
        priority."""
        table = RankTable.of(organisations, routes)
        for route in routes:
            self.assertEqual(table.rank(None, route), route)
            self.assertEqual(table.rank(None, route, is_late=True), route + LATE_RANKS)

    @params(((0, 1, 2), (0, 2)), ((0,), (0, 2)), ((1, 3, None), (0, 1)))
    def test_organisation_goes_first_and_route_second(self, organisations, routes):
        """Guards against an organisation's urgent drafts that share a rank with its
        long summaries."""
        table = RankTable.of(organisations, routes)
        own = [each for each in organisations if each is not None]
        pairs = list(itertools.product(sorted(own), sorted(routes)))
        ranks = [table.rank(*pair) for pair in pairs]
        self.assertEqual(ranks, sorted(set(ranks)))

    @params(((0, 1, 2), (0, 2)), ((0, 1, 2, 3, 4), (0, 1, 2)), (range(10), range(10)))
    def test_late_requests_go_behind_all_others(self, organisations, routes):
        table = RankTable.of(organisations, routes)
        pairs = list(itertools.product(organisations, routes))
        in_time = [table.rank(*pair) for pair in pairs]
        late = [table.rank(*pair, is_late=True) for pair in pairs]
        self.assertLess(max(in_time), min(late))
        self.assertLessEqual(max(late), MAX_RANK)
        self.assertEqual(in_time, sorted(in_time))
        self.assertEqual(late, sorted(late))

    def test_priority_that_the_catalogue_no_longer_has(self):
        table = RankTable.of((0, 1), (0, 2))
        self.assertEqual(table.rank(9, 9), 4)


class TestUnreadTokens(unittest.TestCase):
    def test_earlier_hosts_can_read_the_report(self):
        """Guards against hosts of the former version that fail on a longer list."""
        load = EngineLoad()
        for rank in (0, 3, 7, 12):
            load.begin(f"{rank}", OwnRun(10, 100 + rank, rank, 1.0))
        report = load.notice("t", 2.0)
        self.assertEqual(report.unread, [100, 0, 0, 103 + 107 + 112])
        copy = msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=TargetLoad)
        other = EngineLoad()
        other.apply_notice("h", copy, 2.0)
        self.assertEqual(other.total(2.0).unread, load.total(2.0).unread)

    def test_reports_of_earlier_hosts_count(self):
        load = EngineLoad()
        load.apply_notice("h", TargetLoad("t", 2, 30, [5, 0, 0, 9], 0, 0, 0), 1.0)
        self.assertEqual(load.tokens_before(2, 1.0, 1.0), 5)
        self.assertEqual(load.tokens_before(3, 1.0, 1.0), 14)


if __name__ == "__main__":
    unittest.main()
