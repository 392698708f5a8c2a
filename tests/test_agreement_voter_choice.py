"""Selection of the hosts that vote."""

import unittest

from nose2.tools import params

from bronzepoint_node.agreement._quorum import VACANT, is_quorum, required_sets
from bronzepoint_node.agreement._voter_choice import VoterCandidate, select_voters
from bronzepoint_schema.generated.agreement import Voter


def candidate(name, unresponsive_for=0.0, caught_up=True):
    """Return a candidate; its region is the first letter of its name."""
    return VoterCandidate(
        Voter(name, f"s-{name}"), name[0], unresponsive_for, caught_up
    )


def voters(*names):
    return [Voter(name, f"s-{name}") for name in names]


class TestChooseVoters(unittest.TestCase):
    @params(
        # voters are added two at a time, so that their number stays odd
        (("a1", "b1", "c1"), ["a1", "b1", "c1"], None),
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2"], None),
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2", "b2"], ("a2", "b2")),
        # no region gets so many voters that its loss would also lose the quorum
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2", "a3"], None),
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2", "a3", "c2"], ("a2", "c2")),
    )
    def test_missing_voters_are_added(self, current, known, added):
        chosen = select_voters(
            voters(*current), [candidate(name) for name in known], 5, 4.0
        )
        expected = voters(*current, *added) if added else None
        self.assertEqual(chosen, expected)

    @params(
        (3.9, "a3", None),  # unresponsive for less than the limit
        (4.1, "a3", ("a3", "b1", "c1", "a2", "b2")),  # replaced in its region
        (4.1, "c2", ("c2", "b1", "c1", "a2", "b2")),  # replaced in another region
        (4.1, "b3", None),  # region b would hold three of five voters
    )
    def test_unresponsive_voter_is_replaced(self, unresponsive_for, spare, expected):
        current = ("a1", "b1", "c1", "a2", "b2")
        known = [candidate(name) for name in current[1:]]
        known += [candidate("a1", unresponsive_for), candidate(spare)]
        chosen = select_voters(voters(*current), known, 5, 4.0)
        self.assertEqual(chosen, voters(*expected) if expected else None)

    def test_host_that_is_behind_is_not_added(self):
        """A storage without the entries would count towards a quorum, and the next loss
        could lose accepted changes."""
        current = ("a1", "b1", "c1")
        known = [candidate(name) for name in current]
        known += [candidate("a2", caught_up=False), candidate("b2", caught_up=False)]
        self.assertIsNone(select_voters(voters(*current), known, 5, 4.0))


def seats(storages):
    """Return voters on hosts 0, 1, …; the storage ``-`` is a vacant seat."""
    return [
        Voter(str(number), VACANT if storage == "-" else storage)
        for number, storage in enumerate(storages)
    ]


class TestRequiredSets(unittest.TestCase):
    @params(
        ("abc", "ab-", 1),  # a seat becomes vacant
        ("ab-", "abd", 1),  # the vacant seat is given away
        ("abcde", "abcd-", 1),
        ("abcd-", "abcdf", 1),
        ("abc", "abd", 2),  # ac and bd would both be majorities
        ("abcde", "abcdf", 2),
        ("abc", "abcde", 2),  # ab and cde
        ("abcd", "abcde", 1),
    )
    def test_new_set_suffices_only_if_all_majorities_overlap(
        self, former, voters, expected
    ):
        """Guards against two leaders that are elected without a common voter."""
        sets = required_sets(seats(former), seats(voters))
        self.assertEqual(len(sets), expected)
        self.assertEqual(sets[-1], seats(voters))
        storages = sorted({*former, *voters} - {"-"})
        for chosen in range(1 << len(storages)):
            one = {s for bit, s in enumerate(storages) if chosen >> bit & 1}
            other = set(storages) - one
            if is_quorum(one, sets):
                self.assertFalse(is_quorum(other, [seats(former)]))


if __name__ == "__main__":
    unittest.main()
