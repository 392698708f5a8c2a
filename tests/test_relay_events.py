"""Streams are relayed in complete events only."""

import unittest

from nose2.tools import params

from bronzepoint_common.events import MAX_EVENT, EventSplitter, EventTooLong

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
    def test_only_complete_events_are_released(self, pieces, expected, last, remainder):
        splitter = EventSplitter()
        self.assertEqual([splitter.feed(piece) for piece in pieces], expected)
        self.assertEqual((splitter.last_id, splitter.remainder()), (last, remainder))

    def test_events_are_found_in_pieces_of_any_size(self):
        """Guards against an end between two pieces that is missed, or counted twice."""
        data = ONE + TWO + b"data: a\r\rdata: b\r\r" + ONE
        for size in range(1, len(data)):
            splitter = EventSplitter()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            found = b"".join(splitter.feed(piece) for piece in pieces)
            self.assertEqual((found, splitter.count), (data, 5))

    def test_event_without_end_is_an_error(self):
        """Guards against a target whose event never ends and fills the memory."""
        splitter = EventSplitter()
        splitter.feed(ONE + b"x" * MAX_EVENT)
        with self.assertRaises(EventTooLong):
            splitter.feed(b"x")
        splitter.discard_partial()
        self.assertEqual((splitter.feed(TWO), splitter.count), (TWO, 2))

    @params(
        (b"", False),
        (ONE, False),
        (ONE + TWO, False),
        (b"data: a\r\rdata: b\r\r", False),
        (ONE + b"\n", False),
        (ONE + b": note\n", False),
        (ONE + b"id: 2\n", True),
        (ONE + TWO[:-1], True),
        (ONE + TWO[:-2], True),
        (ONE + b"d", True),
        (ONE + b": no", True),
        (b"data: a\r", True),
    )
    def test_end_inside_an_event_is_recognised(self, data, expected):
        splitter = EventSplitter()
        splitter.feed(data)
        self.assertIs(splitter.is_inside_event, expected)

    def test_partial_event_is_discarded_before_another_target_resumes(self):
        """Guards against an event that joins parts of two runs.

        A target stops in the middle of an event, and another one resumes after the last
        complete event, so that it sends the partial event again. The fault was that the
        first part had already been sent to the caller.
        """
        splitter = EventSplitter()
        splitter.feed(ONE + TWO[:8])
        splitter.discard_partial()
        self.assertEqual(splitter.feed(TWO), TWO)
        self.assertEqual(splitter.last_id, "2")


if __name__ == "__main__":
    unittest.main()
