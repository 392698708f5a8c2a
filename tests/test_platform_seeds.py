"""Seeds of the platform's settings file, which may change at any time."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.lag import Lag
from bronzepoint_common.metrics import Metrics
from bronzepoint_platform._core import CoreProgram
from bronzepoint_platform._entry import EntryProgram
from bronzepoint_platform._settings import (
    PATH_VARIABLE,
    read_settings,
)

SETTINGS = """
node_name = "front-1"
ip = "127.0.0.9"
zone = "x-a"
region = "x"
port_range = [1,2]
seeds = {seeds}
data_dir = "{folder}"
[zones]
x-a = "x"
[listen]
"""


def make_search(role):
    """Return the search of a program that has read its settings."""
    if role == "entry":
        return EntryProgram(read_settings(), Metrics(), Lag())._sync_client._search
    return CoreProgram(read_settings(), Metrics())._core_sync._search


class TestSeeds(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.toml"
        patch = mock.patch.dict(os.environ, {PATH_VARIABLE: str(self.path)})
        patch.start()
        self.addCleanup(patch.stop)

    def write(self, *seeds):
        listed = [f"{seed}:80" for seed in seeds]
        self.path.write_text(SETTINGS.format(seeds=listed, folder=self.path.parent))

    @params("entry", "core")
    def test_seeds_that_change_without_a_signal_are_asked(self, role):
        """Guards against a host that has lost the core and reads its settings at its
        start only, while the file names core hosts that run."""

        async def main():
            self.write("127.0.0.1", "127.0.0.2")
            search = make_search(role)
            before = set(search._candidates())
            self.write("127.0.0.3")
            return before, search._candidates()

        before, after = curio.run(main)
        self.assertEqual(before, {"127.0.0.1", "127.0.0.2"})
        self.assertEqual(after, ["127.0.0.3"])

    @params("entry", "core")
    def test_former_seeds_are_used_while_the_file_is_unreadable(self, role):
        """Guards against a host without seeds while its settings are being replaced."""

        async def main():
            self.write("127.0.0.1")
            search = make_search(role)
            self.path.write_text("seeds = [")
            return search._candidates()

        self.assertEqual(curio.run(main), ["127.0.0.1"])


if __name__ == "__main__":
    unittest.main()
