"""What operators see of the speeds that the scheduler goes by."""

import unittest

import logbook

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.placement import SpeedReport
from tests.test_placement_target_speed import _choose, _site_with_fast_target


class TestSpeedReport(unittest.TestCase):
    def setUp(self):
        self.site = _site_with_fast_target()
        self.metrics = Metrics()
        table, estimates = self.site.table, self.site.placer.estimates
        self.report = SpeedReport(table, estimates, self.metrics)

    def _lines(self, *moments):
        with logbook.TestHandler() as handler:
            for moment in moments:
                self.report.report(self.site.now + moment)
        return [r for r in handler.records if "target speed" in r.message]

    def test_metrics_tell_the_range_of_the_speeds(self):
        self._lines(0.0)
        gauges = self.metrics.gauges()
        self.assertLess(gauges["speed.fastest_permille"], 800)
        self.assertEqual(gauges["speed.slowest_permille"], 1000)
        self.assertEqual(gauges["speed.unknown"], 0)

    def test_unchanged_speed_is_logged_once(self):
        """Guards against a line for each target and second."""
        self.assertEqual(len(self._lines(0.0, 2.0, 4.0, 15.0, 30.0)), 1)

    def test_limit_is_logged_at_once(self):
        """Guards against a target kept below its slots without a line that says so."""
        self._lines(0.0)
        concurrency = self.site.table.get("t2").concurrency
        concurrency.apply_copy(4, self.site.now)
        self.assertEqual(len(self._lines(1.5)), 1)
        concurrency.limit = None
        self.assertEqual(len(self._lines(3.0)), 1)

    def test_choices_held_up_by_reading_are_counted(self):
        estimates = self.site.placer.estimates
        self.assertEqual(estimates.held_by_reading, 0)
        mix = estimates.mix("s")
        mix.note_granted(134_500, 3630, self.site.now)
        mix.note_pace(0.035, self.site.now)
        for target in self.site.table.all():
            target.load.reading.note_granted(10**6, 9, 15.0, self.site.now)
            for number in range(target.slots - 1):
                target.begin(f"r{number}", None, 0, self.site.now)
        _choose(self.site)
        self.assertEqual(estimates.held_by_reading, 1)
