"""The retry budget of all hosts together, beside restarts and random faults."""

import unittest

import curio
from nose2.tools import params

from tests._platform_site import ROOT
from tests._retry_soak import INCIDENTS, RetrySoak

SECONDS = 20.0
"""Seconds for which faults are injected."""


class TestFullRestart(unittest.TestCase):
    @params("full", "mixed")
    def test_restarted_hosts_and_regions_that_reject_share_one_retry_budget(self, name):
        """Guards against rejections in other regions that no host is charged for, after
        all processes were killed at once."""
        found = curio.run(INCIDENTS[name].play, ROOT)
        self.assertGreater(found.use.retries, 0)
        self.assertLessEqual(found.use.share, 1.0, found.logs)


class TestSoak(unittest.TestCase):
    @params(19, 40)
    def test_random_faults_keep_the_retry_budget(self, seed):
        """Guards against faults that no other test of the retry budget covers."""
        found = curio.run(RetrySoak(seed, SECONDS).run)
        self.assertGreater(found.requests, 0)
        self.assertLessEqual(found.use.share, 1.0, found.logs)


if __name__ == "__main__":
    unittest.main()
