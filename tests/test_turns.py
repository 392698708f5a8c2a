"""Selecting a few of many items, round robin."""

import unittest

from nose2.tools import params

from bronzepoint_common.turns import rotating_slice


class TestTurns(unittest.TestCase):
    @params(
        ("abc", 0, 3, "abc"),
        ("abc", 2, 5, "abc"),
        ("abcde", 0, 2, "ab"),
        ("abcde", 4, 2, "ea"),
        ("abcde", 12, 3, "cde"),
        ("abc", 1, 0, ""),
        ("", 4, 2, ""),
    )
    def test_items_from_a_position(self, items, start, max_items, expected):
        self.assertEqual("".join(rotating_slice(items, start, max_items)), expected)

    def test_successive_slices_cover_all_items(self):
        seen = [
            item for turn in range(5) for item in rotating_slice(range(9), 2 * turn, 2)
        ]
        self.assertEqual(set(seen), set(range(9)))


if __name__ == "__main__":
    unittest.main()
