"""Which targets count as unresponsive, by polls and by the events of streams."""

import unittest

from nose2.tools import params

from bronzepoint_node.placement import is_unresponsive
from bronzepoint_node.placement._tracked_target import CONTACT_VALIDITY
from bronzepoint_schema.generated.target_loads import EngineWord
from tests.test_placement_placer import Site, info

EVENT_SECONDS = 0.3
SILENT = EngineWord(
    silent=True,
    age_ms=-1,
    running=0,
    waiting=0,
    used_tokens=0,
    total_tokens=0,
    known_runs=0,
    known_tokens=0,
)


def reported(target, now):
    """Apply a report of the host that polls the target in vain."""
    target.apply_engine_status(SILENT, now)


def polled(target, now):
    """Record two polls by this host that failed before the event."""
    target.record_failure(now - 1.0)
    target.record_failure(now - 0.5)


class TestOwnStreams(unittest.TestCase):
    def setUp(self):
        self.site = Site(info("t1"))
        self.target = self.site.table.get("t1")
        self.target.begin("run", None, 1, self.site.now)

    @params(
        # seconds from the event to the report
        (EVENT_SECONDS, False),
        (CONTACT_VALIDITY + 0.1, True),
    )
    def test_recent_events_outweigh_a_report_of_failed_polls(self, age, expected):
        """Guards against streams that are given up while their target sends events,
        because another host's polls fail."""
        self.target.note_events(1, EVENT_SECONDS, self.site.now)
        reported(self.target, self.site.now + age)
        found = is_unresponsive(self.target, self.site.now + age)
        self.assertEqual(found, expected)

    @params(reported, polled)
    def test_event_makes_a_target_responsive(self, fail):
        """Guards against streams that are given up although they go on after failed
        polls."""
        fail(self.target, self.site.now)
        self.assertTrue(is_unresponsive(self.target, self.site.now))
        self.target.note_events(1, EVENT_SECONDS, self.site.now)
        self.assertFalse(is_unresponsive(self.target, self.site.now))


if __name__ == "__main__":
    unittest.main()
