"""Child processes never outlive the harness."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_emulator.deployment import (
    ManagedProcess,
    PortBlock,
    ProcessEnded,
    wait_until,
)

SLEEPER = [sys.executable, "-c", "import time; time.sleep(600)"]
HARNESS = """
import sys, time
from pathlib import Path
from bronzepoint_emulator.deployment import ManagedProcess
child = ManagedProcess("sleeper", {command!r}, Path({log!r}))
child.start()
print(child.pid, flush=True)
time.sleep(600)
"""


def runs(pid):
    """Return whether a process exists and is not a zombie."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


class ManagedProcessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / "log"
        self.child = ManagedProcess("sleeper", SLEEPER, self.log)
        self.addCleanup(self.child.kill)

    def test_frozen_process_is_stopped_and_resumes(self):
        self.child.start()
        self.child.freeze()
        state = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2]
        self.assertEqual(state.split()[0], "T")
        self.child.thaw()
        self.child.close(10.0)
        self.assertFalse(self.child.alive)

    def test_close_ends_a_frozen_process(self):
        self.child.start()
        self.child.freeze()
        self.child.close(10.0)
        self.assertFalse(self.child.alive)

    def test_error_for_an_ended_process_has_its_log(self):
        command = [sys.executable, "-c", "print('reason'); raise SystemExit(3)"]
        child = ManagedProcess("short", command, self.log)
        child.start()
        child.wait(30.0)
        with self.assertRaisesRegex(ProcessEnded, "exit status 3(.|\n)*reason"):
            child.check()

    @params(signal.SIGKILL, signal.SIGTERM, signal.SIGINT)
    def test_children_end_with_the_harness(self, number):
        """A daemon must not keep running and answer the next test's requests.

        A harness that is killed runs no clean-up, and by default its children continue
        under another parent.
        """
        source = HARNESS.format(command=SLEEPER, log=str(self.log))
        harness = subprocess.Popen(
            [sys.executable, "-c", source],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.addCleanup(harness.stdout.close)
        child = int(harness.stdout.readline())
        self.assertTrue(runs(child))
        harness.send_signal(number)
        harness.wait(30)
        wait_until(lambda: not runs(child), "the child has ended")


class PortBlockTest(unittest.TestCase):
    def test_two_holders_get_different_ports(self):
        blocks = [PortBlock(), PortBlock()]
        for block in blocks:
            block.start()
            self.addCleanup(block.close)
        addresses = [block.address() for block in blocks for _ in range(20)]
        self.assertEqual(len(set(addresses)), 40)

    def test_closing_a_block_releases_its_lock(self):
        before = len(os.listdir("/proc/self/fd"))
        block = PortBlock()
        block.start()
        block.close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)
