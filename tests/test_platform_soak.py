"""Soak test: random faults on the platform's programs break no guarantee."""

import unittest

import curio
from nose2.tools import params

from tests._platform_soak import PlatformSoak

SECONDS = 6.0
"""Seconds for which faults are injected."""


class TestSoak(unittest.TestCase):
    @params((1, 0), (2, 1700))
    def test_no_guarantee_is_broken(self, seed, routes):
        """Guards against faults that no other test covers.

        Hosts are killed, suspended, terminated and wiped, and targets fail, in an order
        given by the seed, while callers send requests and an operator changes the
        catalogue. The failure message says which guarantee was broken.
        """
        found = curio.run(PlatformSoak(seed, SECONDS, routes).run)
        self.assertEqual(found.violations, [], found.logs)
        self.assertGreater(found.served, 0)
        self.assertGreater(found.accepted, 1)


if __name__ == "__main__":
    unittest.main()
