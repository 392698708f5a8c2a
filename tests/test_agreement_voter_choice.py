"""Which hosts vote, as a leader decides it."""

import unittest

from nose2.tools import params

from bronzepoint_node.agreement._voter_choice import VoterCandidate, select_voters
from bronzepoint_schema.generated.agreement import Voter


def candidate(name, silent=0.0, caught_up=True):
    """Host ``a1`` is of region ``a``."""
    return VoterCandidate(Voter(name, f"s-{name}"), name[0], silent, caught_up)


def voters(*names):
    return [Voter(name, f"s-{name}") for name in names]


class TestChooseVoters(unittest.TestCase):
    @params(
        # free seats are filled two at a time, never to an even number
        (("a1", "b1", "c1"), ["a1", "b1", "c1"], None),
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2"], None),
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2", "b2"], ("a2", "b2")),
        # no region gets so many seats that its loss takes the quorum along
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2", "a3"], None),
        (("a1", "b1", "c1"), ["a1", "b1", "c1", "a2", "a3", "c2"], ("a2", "c2")),
    )
    def test_free_seats(self, seated, known, added):
        chosen = select_voters(
            voters(*seated), [candidate(name) for name in known], 5, 4.0
        )
        expected = voters(*seated, *added) if added else None
        self.assertEqual(chosen, expected)

    @params(
        (3.9, "a3", None),  # silent, but not for long
        (4.1, "a3", ("a3", "b1", "c1", "a2", "b2")),  # gone: its seat is given away
        (4.1, "c2", ("c2", "b1", "c1", "a2", "b2")),  # to another region with room
        (4.1, "b3", None),  # which would hold three of five seats
    )
    def test_seat_of_a_silent_voter(self, silent, spare, expected):
        seated = ("a1", "b1", "c1", "a2", "b2")
        known = [candidate(name) for name in seated[1:]]
        known += [candidate("a1", silent), candidate(spare)]
        chosen = select_voters(voters(*seated), known, 5, 4.0)
        self.assertEqual(chosen, voters(*expected) if expected else None)

    def test_a_host_that_is_behind_gets_no_seat(self):
        """A storage without the entries would count towards a quorum that holds
        nothing; the next loss would lose what was accepted."""
        seated = ("a1", "b1", "c1")
        known = [candidate(name) for name in seated]
        known += [candidate("a2", caught_up=False), candidate("b2", caught_up=False)]
        self.assertIsNone(select_voters(voters(*seated), known, 5, 4.0))


if __name__ == "__main__":
    unittest.main()
