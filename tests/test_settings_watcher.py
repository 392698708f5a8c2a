"""Settings that are read again while a daemon runs."""

import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_node._settings_watcher import SettingsWatcher
from tests._addresses import free_address
from tests.test_settings_faults import GOOD

MAX_WAIT = 60.0
"""Maximum seconds for a process to start or to end."""
READ_AGAIN = "hosts of the settings read again"
NEW_PEER = """
[peer bkk-2]
region = bkk
data_center = bkk-a
http = 127.0.0.1:8003
peer = 127.0.0.1:9003
"""


class TestSettingsWatcher(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.ini"
        self.path.write_text(GOOD)
        self.changes = []
        self.watcher = SettingsWatcher(self.path, self.changes.append)

    @params("", "[host]\nname = b k", None)
    def test_unusable_file_leaves_the_former_settings_in_effect(self, content):
        """Guards against a daemon that ends, or stops checking, on a bad file."""
        if content is None:
            self.path.unlink()
        else:
            self.path.write_text(content)
        self.watcher.check()
        self.assertEqual(self.changes, [])
        self.path.write_text(GOOD + NEW_PEER)
        self.watcher.check()
        self.watcher.check()
        (settings,) = self.changes
        self.assertIn("bkk-2", settings.peers)


class TestDaemon(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def wait_for_line(self, text):
        end = time.monotonic() + MAX_WAIT
        while text not in (self.folder / "log").read_text():
            self.assertLess(time.monotonic(), end, text)
            self.assertIsNone(self.daemon.poll(), text)
            time.sleep(0.05)

    def test_sighup_reads_the_settings_again(self):
        """Guards against a daemon that ends by SIGHUP, or has to be restarted to learn
        of a host that its settings name."""
        path = self.folder / "host.ini"
        text = GOOD.replace("127.0.0.1:8001", free_address())
        text = text.replace("127.0.0.1:9001", free_address())
        path.write_text(text)
        with open(self.folder / "log", "wb") as log:
            self.daemon = subprocess.Popen(
                [sys.executable, "-m", "bronzepoint_node", str(path)],
                stdout=log,
                stderr=log,
            )
        self.addCleanup(self.daemon.wait)
        self.addCleanup(self.daemon.kill)
        self.wait_for_line('"started"')
        path.write_text(text + NEW_PEER)
        self.daemon.send_signal(signal.SIGHUP)
        self.wait_for_line(READ_AGAIN)
        self.daemon.terminate()
        self.assertEqual(self.daemon.wait(MAX_WAIT), 0)


if __name__ == "__main__":
    unittest.main()
