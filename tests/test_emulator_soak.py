"""A short run of random faults over real processes, with a fixed seed."""

import unittest

from nose2.tools import params

from bronzepoint_emulator.deployment import saphan
from bronzepoint_emulator.soak import run_soak

SECONDS = 12.0
"""Duration of the faults in seconds."""


class SoakTest(unittest.TestCase):
    @params(1)
    def test_nothing_is_violated(self, seed):
        """Callers observe no violation under overlapping random faults."""
        report = run_soak(saphan(), SECONDS, seed)
        self.assertEqual(report.violations, [])
        self.assertGreater(sum(report.faults().values()), 3)
        self.assertGreater(report.calls()["save answered"], 0)
        self.assertGreater(report.calls()["chat answered"], 0)
        self.assertGreater(report.changes()["answered"], 0)
