"""Bounds on the cost of choices and reports in a region with 1000 targets."""

import random
import unittest
import unittest.mock
from collections import Counter
from types import SimpleNamespace

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement import LocalPlacement, NoLocalTarget, Prompt, PromptPart
from bronzepoint_node.placement._engine_load import OwnRun
from bronzepoint_node.placement._load_collector import MAX_REPORTED, NOTICE_INTERVAL
from bronzepoint_node.placement._load_exchange import REPORT_INTERVAL
from bronzepoint_node.placement._local_target_selector import LocalTargetSelector
from bronzepoint_node.placement._target_groups import (
    MAX_GROUP_SIZE,
    MAX_GROUPS,
    MAX_UNGROUPED,
    group_targets,
    order_groups,
)
from bronzepoint_schema.generated.target_loads import LoadNotice, NoticeKind
from tests._scheduling_region import SLOTS, Region

TARGETS = 1000
HOSTS = 9


def targets(count):
    names = [f"i-{number}~1" for number in range(count)]
    return [SimpleNamespace(info=SimpleNamespace(incarnation=name)) for name in names]


def shared(part):
    return Prompt((PromptPart(part, 500), PromptPart("own", 100)), 600, 50)


def fill(tracked):
    """Occupy all slots of a target with requests of this host."""
    for number in range(SLOTS):
        run = OwnRun(0, 0, 0, monotonic(), started=True)
        tracked.load.begin(f"{tracked.info.incarnation}-{number}", run)


class TestGroups(unittest.TestCase):
    @params((1, 1), (MAX_UNGROUPED, 1), (MAX_UNGROUPED + 1, 4), (TARGETS, 32))
    def test_sizes(self, count, expected):
        all_targets = targets(count)
        groups = group_targets(all_targets)
        self.assertEqual(len(groups), expected)
        found = sorted(t.info.incarnation for group in groups for t in group)
        self.assertEqual(found, sorted(t.info.incarnation for t in all_targets))
        self.assertLessEqual(max(map(len, groups)), MAX_UNGROUPED)

    def test_target_that_joins_moves_no_other(self):
        """Guards against a new target that makes the caches of the others useless."""
        before, after = (group_targets(targets(count)) for count in (1000, 1001))
        pairs = zip(before, after, strict=True)
        moved = sum(len(new) - len(old) for old, new in pairs)
        self.assertEqual(moved, 1)

    def test_what_is_shared_is_placed_in_the_same_groups(self):
        groups = group_targets(targets(TARGETS))
        orders = [
            order_groups(groups, key, random.Random(seed))
            for key in ("guide", "manual")
            for seed in (1, 2)
        ]
        self.assertEqual(orders[0], orders[1])
        self.assertEqual(orders[2], orders[3])
        self.assertEqual([len(order) for order in orders], [MAX_GROUPS] * 4)

    def test_requests_that_share_nothing_are_spread(self):
        groups = group_targets(targets(TARGETS))
        rng = random.Random(1)
        first = Counter(id(order_groups(groups, "", rng)[0]) for _ in range(1000))
        self.assertEqual(len(first), len(groups))


class TestChoice(unittest.TestCase):
    def _choose(self, prepare, request_for):
        """Return the result and the number of targets that were considered."""
        views = Counter()
        view = LocalTargetSelector.view

        def counted(selector, *arguments):
            views["targets"] += 1
            return view(selector, *arguments)

        async def main():
            async with Region(1, TARGETS) as region:
                (host,) = region.hosts.values()
                prepare(host.table)
                return host.placer.local_selector.choose(request_for(host), monotonic())

        with unittest.mock.patch.object(LocalTargetSelector, "view", counted):
            return curio.run(main), views["targets"]

    def test_one_choice_looks_at_one_group(self):
        """Guards against choices whose cost grows with the number of targets.

        The scheduler would have no processor time left.
        """
        found, views = self._choose(
            lambda table: None, lambda host: host.make_request()
        )
        self.assertIsInstance(found, LocalPlacement)
        self.assertLess(views, 2 * MAX_GROUP_SIZE)

    def test_full_group_is_left_for_another(self):
        """Guards against a refused request while most targets are idle."""

        def fill_first_group(table):
            (first, *_) = order_groups(table.groups("s"), "guide", random.Random())
            for tracked in first:
                fill(tracked)

        def request_for(host):
            request = host.make_request()
            request.prompt = shared("guide")
            return request

        found, views = self._choose(fill_first_group, request_for)
        self.assertIsInstance(found, LocalPlacement)
        self.assertLess(views, 2 * MAX_GROUPS * MAX_GROUP_SIZE)

    def test_choice_among_full_targets_is_bounded_too(self):
        def fill_all(table):
            for tracked in table.all():
                fill(tracked)

        found, views = self._choose(fill_all, lambda host: host.make_request())
        self.assertEqual(found, NoLocalTarget(late=False))
        self.assertLess(views, 2 * MAX_GROUPS * MAX_GROUP_SIZE)


class NoticeCounter:
    """Counts the loads that the hosts of a region report to each other."""

    def __init__(self, region):
        self.to_collect = Counter()
        self.received = Counter()
        self.names = set()
        self._post = region.post
        region.post = self.post

    def post(self, sender, receiver, area, message):
        match message:
            case LoadNotice(kind=NoticeKind.to_collect):
                self.to_collect[sender] += len(message.loads)
            case LoadNotice(kind=NoticeKind.of_others) if message.span_ms:
                self.received[receiver] += len(message.loads)
                self.names.update(load.incarnation for load in message.loads)
        self._post(sender, receiver, area, message)


class TestNoticeVolume(unittest.TestCase):
    def test_notices_grow_with_what_is_in_use(self):
        """Guards against reports of idle targets that use up links and processors.

        This happens when each host reports each of a thousand targets every second, in
        both directions.
        """

        async def main():
            async with Region(HOSTS, TARGETS) as region:
                await curio.sleep(NOTICE_INTERVAL)
                counter = NoticeCounter(region)
                for member in region.members:
                    await member.send("1")
                await curio.sleep(2 * NOTICE_INTERVAL + 2 * REPORT_INTERVAL)
                return counter

        counter = curio.run(main)
        # One report of the change, and one full report per second.
        self.assertLessEqual(max(counter.to_collect.values()), 5)
        self.assertLessEqual(max(counter.received.values()), 4 * MAX_REPORTED)
        self.assertGreater(
            len(counter.names), MAX_REPORTED, "targets are reported round robin"
        )

    def test_idle_members_still_get_notices(self):
        """Guards against members that count as dead because they are idle."""

        async def main():
            async with Region(HOSTS, 6) as region:
                await curio.sleep(4 * NOTICE_INTERVAL)
                now = monotonic()
                scheduler = region.scheduler.exchange
                return len(scheduler._load_collector.members(now)), [
                    host.exchange.staleness(now) for host in region.members
                ]

        members, ages = curio.run(main)
        self.assertEqual(members, HOSTS - 1)
        self.assertLess(max(ages), 2 * NOTICE_INTERVAL)


if __name__ == "__main__":
    unittest.main()
