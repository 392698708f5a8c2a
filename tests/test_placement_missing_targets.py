"""Targets that are missing from readings of the target list."""

import unittest

from nose2.tools import params

from bronzepoint_node.placement import LocalPlacement
from bronzepoint_node.placement._missing_targets import (
    MAX_MISSING,
    MISSING_RETENTION,
)
from tests.test_placement_collector import ENGINE, Network
from tests.test_placement_placer import Site, info

READ_INTERVAL = 1.0
"""Seconds between two readings of the list."""


def limit(site):
    site.table.get("t1").record_limit(1.0, site.now)


def load(site):
    site.table.get("t1").begin("run", None, 1, site.now)


def replace(site):
    site.table.get("t1").record_replacement()


def reopen(site):
    site.update([info("t1"), info("t2")], closed=["a-1"])
    site.update([info("t1"), info("t2")])


def reopen_while_missing(site):
    site.update([info("t1"), info("t2")], closed=["a-1"])
    site.update([info("t2")], closed=["a-1"])
    site.update([info("t2")])


def read_without_target(site, seconds):
    """Apply readings of the list that lack ``t1`` for a number of seconds."""
    until = site.now + seconds
    site.update([info("t2")])
    while site.now < until:
        site.now += READ_INTERVAL
        site.update([info("t2")])


class TestMissingTargets(unittest.TestCase):
    @params(
        # a burst at a target that limits its requests
        (limit, lambda target, now: target.limit.rate, 1.0),
        # a busy target that counts as idle
        (load, lambda target, now: target.load.in_flight(now), 1),
        # requests for a target at whose address another one answers
        (replace, lambda target, now: target.replaced, True),
        # a burst at targets that are still cold after their data center was closed
        (reopen, lambda target, now: target.cold_until > now, True),
        (reopen_while_missing, lambda target, now: target.cold_until > now, True),
    )
    def test_target_missing_from_one_reading_stays_known(self, change, read, expected):
        """Guards against state that is lost because one reading of the list lacked the
        entry of its target."""
        site = Site(info("t1"), info("t2"))
        change(site)
        read_without_target(site, 0.0)
        site.update([info("t1"), info("t2")])
        self.assertEqual(read(site.table.get("t1"), site.now), expected)

    def test_missing_target_gets_no_requests(self):
        """Guards against requests for a target that the platform has ended."""
        site = Site(info("t1"), info("t2"))
        target = site.table.get("t1")
        site.update([info("t2")])
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})
        self.assertIsNone(site.table.get("t1"))
        self.assertFalse(site.table.is_open(target))
        self.assertEqual([t.info.incarnation for t in site.table.all()], ["t2"])
        site.update([])
        self.assertNotIsInstance(site.place(), LocalPlacement)

    def test_missing_target_is_forgotten_after_its_retention(self):
        """Guards against a table that grows with each target that ends."""
        site = Site(info("t1"), info("t2"))
        limit(site)
        read_without_target(site, MISSING_RETENTION)
        self.assertEqual(len(site.table.all_known()), 1)
        site.update([info("t1"), info("t2")])
        self.assertIsNone(site.table.get("t1").limit.rate)

    def test_absence_needs_newer_readings(self):
        """Guards against targets that are forgotten while the list can't be read."""
        site = Site(info("t1"), info("t2"))
        limit(site)
        site.update([info("t2")])
        site.now += 2 * MISSING_RETENTION
        site.update([info("t2")], age=2 * MISSING_RETENTION)
        site.update([info("t1"), info("t2")])
        self.assertEqual(site.table.get("t1").limit.rate, 1.0)

    def test_missing_target_is_forgotten_once_another_starts_at_its_address(self):
        """Guards against a delay in accepting that a target has been replaced."""
        site = Site(info("t1"), info("t2"))
        former = site.table.get("t1")
        site.update([info("t1~2"), info("t2")])
        self.assertTrue(former.is_gone)
        self.assertEqual(len(site.table.all_known()), 2)

    def test_return_of_an_older_target_does_not_end_a_missing_one(self):
        """Guards against a shifting list that ends the newer target at an address."""
        site = Site(info("t1"), info("t1~2"))
        newer = site.table.get("t1~2")
        site.update([info("t1~2")])
        site.update([info("t1")])
        self.assertFalse(newer.is_gone)

    def test_number_of_missing_targets_is_bounded(self):
        """Guards against memory that grows with targets that start and end at once."""
        names = [f"t{number}" for number in range(MAX_MISSING + 10)]
        site = Site(*map(info, names))
        first, last = site.table.get(names[0]), site.table.get(names[-1])
        site.update([])
        self.assertEqual(len(site.table.all_known()), MAX_MISSING)
        self.assertEqual((first.is_gone, last.is_gone), (True, False))


class TestReports(unittest.TestCase):
    @params("sender", "receiver")
    def test_load_at_a_missing_target_is_reported(self, lacking):
        """Guards against a busy target that counts as idle after it was missing, as its
        loads were neither sent nor accepted meanwhile."""
        network = Network(["sender", "receiver"])
        sender, receiver = network.hosts["sender"], network.hosts["receiver"]
        network.step()
        running = sender.table.get("t1")
        whole = [target.info for target in sender.table.all()]
        table = network.hosts[lacking].table
        services, closed = {"s": ENGINE}, frozenset()
        table.update(whole[1:], 0.0, services, closed, network.now)
        running.begin("run", None, 1, network.now)
        network.step()
        table.update(whole, 0.0, services, closed, network.now)
        known = receiver.table.get("t1")
        self.assertEqual(known.load.in_flight(network.now), 1)


if __name__ == "__main__":
    unittest.main()
