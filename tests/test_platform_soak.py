"""Random faults on the platform's programs break no promise."""

import unittest

import curio
from nose2.tools import params

from tests._platform_soak import PlatformSoak

SECONDS = 6.0


class TestSoak(unittest.TestCase):
    @params((1, 0), (2, 1700))
    def test_no_promise_is_broken(self, seed, routes):
        """Symptom: what no single test thought of.
        Sequence: hosts are killed, paused, ended and wiped, and targets fail, in an
        order that the seed decides, while callers ask and an operator changes the
        catalogue.
        Cause: open; the message says which promise broke."""
        found = curio.run(PlatformSoak(seed, SECONDS, routes).run)
        self.assertEqual(found.broken, [], found.logs)
        self.assertGreater(found.served, 0)
        self.assertGreater(found.accepted, 1)


if __name__ == "__main__":
    unittest.main()
