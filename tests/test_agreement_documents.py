"""Documents in the log and between voters cost what has changed in them."""

import unittest

from bronzepoint_schema.generated.settings import AgreementSection
from tests._large_manifest import large_manifest
from tests._seeded_cluster import with_cluster

CONTROL_MEMORY = 64e6
"""Bytes that a host may use for control."""
ROUTES = 1700
CHANGES = 40


class TestLog(unittest.TestCase):
    @with_cluster("a1")
    async def test_the_log_grows_with_what_has_changed(self, cluster):
        """The leader's memory grew by 93 MB while eighteen versions of a catalogue of
        1,700 routes were agreed: the log, on the disk and in memory, kept each of them
        whole, up to a thousand between two snapshots."""
        await cluster.put("a1", 1, large_manifest(1, ROUTES))
        path = cluster.root / "a1" / "agreement.log"
        before = path.stat().st_size
        for version in range(2, 2 + CHANGES):
            changed = set(range(version))
            await cluster.put("a1", version, large_manifest(version, ROUTES, changed))
        grown = path.stat().st_size - before
        records = AgreementSection().snapshot_every
        self.assertLess(grown / CHANGES * records, CONTROL_MEMORY)


if __name__ == "__main__":
    unittest.main()
