"""Memory that a request takes of its target until its end."""

import unittest

from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement import LocalPlacement, Prompt, PromptPart, Rejected
from tests.test_placement_placer import ENGINE, Site, info


def prompt(own=100, shared=0, output=0, expected=0, name="guide"):
    parts = [PromptPart("own", own)]
    if shared:
        parts.insert(0, PromptPart(name, shared))
    return Prompt(tuple(parts), own + shared, output, expected)


class TestEndSize(unittest.TestCase):
    @params(
        # maximum, estimate, memory
        (500, 0, 600),
        (500, 100, 250),
        (120, 100, 220),
        (0, 100, 250),
    )
    def test_output_counts_with_its_spread(self, output, expected, memory):
        """Guards against targets that run out of memory because half of the answers
        are longer than their callers have estimated."""
        self.assertEqual(prompt(output=output, expected=expected).memory_tokens, memory)


class TestRoom(unittest.TestCase):
    @params((90_000, LocalPlacement), (110_000, Rejected))
    def test_shared_parts_take_memory_once(self, shared, expected):
        """Guards against a target that crashes when requests with several large shared
        parts are sent there, none of which counts."""
        site = Site(info("t1"), service=ENGINE)
        target = site.table.get("t1")
        first = prompt(shared=100_000)
        target.begin("1", first, 0, monotonic())
        # The same part again takes no memory, another one does.
        again = site.place(prompt=prompt(shared=100_000))
        self.assertIsInstance(again, LocalPlacement)
        other = site.place(prompt=prompt(shared=shared, name="other"))
        self.assertIsInstance(other, expected)

    def test_memory_is_free_again_after_the_end(self):
        site = Site(info("t1"), service=ENGINE)
        target = site.table.get("t1")
        target.begin("1", prompt(shared=150_000), 0, monotonic())
        before = target.free_tokens(monotonic())
        target.load.end("1")
        self.assertEqual((before, target.free_tokens(monotonic())), (49_900, 200_000))


if __name__ == "__main__":
    unittest.main()
