"""Streams are passed on in whole events."""

import unittest

from nose2.tools import params

from bronzepoint_node.relay import EventSplitter

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\r\ndata: b\r\n\r\n"


class TestEventSplitter(unittest.TestCase):
    @params(
        ([ONE], [ONE], "1", b""),
        ([ONE + TWO], [ONE + TWO], "2", b""),
        ([ONE[:5], ONE[5:]], [b"", ONE], "1", b""),
        ([ONE[:-1], b"\n" + TWO[:6]], [b"", ONE], "1", TWO[:6]),
        ([b": note\n\n"], [b": note\n\n"], None, b""),
    )
    def test_only_whole_events_are_given_on(self, pieces, expected, last, rest):
        splitter = EventSplitter()
        self.assertEqual([splitter.feed(piece) for piece in pieces], expected)
        self.assertEqual((splitter.last_id, splitter.rest()), (last, rest))

    def test_part_of_an_event_is_dropped_before_another_target_goes_on(self):
        """Symptom: a stream shows pieces of two runs joined.
        Sequence: a target stops in the middle of an event; another goes on behind the
        last whole one, and sends that event again.
        Cause: the first part was passed on already."""
        splitter = EventSplitter()
        splitter.feed(ONE + TWO[:8])
        splitter.restart()
        self.assertEqual(splitter.feed(TWO), TWO)
        self.assertEqual(splitter.last_id, "2")


if __name__ == "__main__":
    unittest.main()
