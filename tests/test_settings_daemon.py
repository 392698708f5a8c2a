"""A daemon that can't start prints the reason in one line.

Its exit status is 2 if its settings are invalid and 1 otherwise.
"""

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from bronzepoint_common.storage import RecordLog
from tests.test_settings_faults import GOOD

MAX_WAIT = 30
"""Seconds after which a daemon that hasn't exited counts as hung."""


class BadStart(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def listen(self) -> str:
        """Return an address that is in use."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        return f"127.0.0.1:{sock.getsockname()[1]}"

    def start(self, text: str) -> tuple[int, list[str]]:
        """Run a daemon that must exit; return its status and its error lines."""
        path = self.folder / "host.ini"
        path.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "bronzepoint_node", str(path)],
            capture_output=True,
            text=True,
            timeout=MAX_WAIT,
        )
        lines = done.stderr.splitlines()
        return done.returncode, [line for line in lines if not line.startswith("{")]

    def settings(self, http: str = "127.0.0.1:0", peer: str = "127.0.0.1:0") -> str:
        text = GOOD.replace("127.0.0.1:8001", http).replace("127.0.0.1:9001", peer)
        data = f"data_center = bkk-a\nvoter = true\ndata_folder = {self.folder}/data"
        return text.replace("data_center = bkk-a", data)

    def test_every_fault_of_the_settings_has_a_line(self):
        text = GOOD.replace("name = bkk-1", "nme = x").replace("home = bkk", "")
        status, lines = self.start(text)
        self.assertEqual(status, 2)
        self.assertEqual(len(lines), 3)
        self.assertTrue(all("host.ini [" in line for line in lines), lines)

    def test_callers_address_in_use(self):
        address = self.listen()
        status, lines = self.start(self.settings(http=address))
        self.assertEqual((status, len(lines)), (1, 1), lines)
        self.assertIn(address, lines[0])

    def test_peers_address_in_use(self):
        address = self.listen()
        status, lines = self.start(self.settings(peer=address))
        self.assertEqual((status, len(lines)), (1, 1), lines)
        self.assertIn(address, lines[0])

    def test_data_folder_in_use(self):
        log = RecordLog(self.folder / "data", "agreement")
        log.open()
        self.addCleanup(log.close)
        status, lines = self.start(self.settings())
        self.assertEqual((status, len(lines)), (1, 1), lines)
        self.assertIn(str(self.folder / "data"), lines[0])

    def test_damaged_log(self):
        """Guards against a voter that votes as if it had never voted before.

        A byte of its log is corrupted and the host restarts; it continues without the
        unreadable records instead of reporting an error.
        """
        log = RecordLog(self.folder / "data", "agreement")
        log.open()
        log.append([b"first"])
        log.append([b"second"])
        log.close()
        content = bytearray(log.path.read_bytes())
        content[len(content) // 4] ^= 1
        log.path.write_bytes(content)
        status, lines = self.start(self.settings())
        self.assertEqual((status, len(lines)), (1, 1), lines)
        self.assertIn("Remedy", lines[0])
        self.assertEqual(log.path.read_bytes(), bytes(content))
