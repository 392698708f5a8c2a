"""Random faults of a fleet, after which all hosts have the newest catalogue."""

import unittest

import curio
from nose2.tools import params

from tests import _core_fleet_soak


class TestSoak(unittest.TestCase):
    @params(2, 3)
    def test_all_hosts_find_the_core_after_random_faults(self, seed):
        """Guards against a host that stays lost after some order of cuts, replacements,
        restarts and losses of power."""
        faults = curio.run(_core_fleet_soak.run, seed)
        self.assertEqual(len(faults), _core_fleet_soak.STEPS)


if __name__ == "__main__":
    unittest.main()
