"""The demo as a newcomer runs it, whole and interrupted."""

import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_emulator.deployment import new_nonce, wait_until

COMMAND = [sys.executable, "-m", "bronzepoint_emulator.demo"]
MARK = "BRONZEPOINT_TEST_MARK"
SIGNALLED_IN_FORK = """
import os, signal
from rich.console import Console
from bronzepoint_emulator.demo._command_line import CommandLine
from bronzepoint_emulator.deployment._cleanup import watch

watch(lambda: None)
os.register_at_fork(after_in_parent=lambda: os.kill(os.getpid(), signal.SIGTERM))
CommandLine(Console(quiet=True), [], "token").run("--help")
"""
PATIENCE = 120.0
UNDER_WAY = "A streamed answer"


def marked_processes(mark):
    """Return the ids of running processes that inherited the mark."""
    wanted = f"{MARK}={mark}".encode()
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            if wanted in (folder / "environ").read_bytes().split(b"\0"):
                found.append(folder.name)
        except OSError:
            continue
    return found


class DemoTest(unittest.TestCase):
    def start(self):
        mark = new_nonce()
        demo = subprocess.Popen(
            COMMAND,
            env=os.environ | {MARK: mark, "PYTHONUNBUFFERED": "1"},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(demo.stdout.close)
        self.addCleanup(demo.wait, PATIENCE)
        self.addCleanup(demo.kill)
        return demo, mark

    def test_every_step_holds_and_nothing_is_left(self):
        demo, mark = self.start()
        output, _ = demo.communicate(timeout=PATIENCE)
        self.assertEqual(demo.returncode, 0, output)
        self.assertIn("Every step held", output)
        self.assertEqual(marked_processes(mark), [])

    @params(signal.SIGINT, signal.SIGTERM, signal.SIGKILL)
    def test_interrupted_demo_leaves_nothing(self, number):
        """Daemons run on after the demo was interrupted, and hold memory and ports.

        Sequence: the demo is interrupted while its deployment is up and a command
        runs. Cause: a child isn't ended by its parent's end.
        """
        demo, mark = self.start()
        for line in demo.stdout:
            if UNDER_WAY in line:
                break
        self.assertGreater(len(marked_processes(mark)), 9)
        demo.send_signal(number)
        demo.stdout.read()
        self.assertNotEqual(demo.wait(PATIENCE), 0)
        wait_until(lambda: not marked_processes(mark), "nothing is left")

    def test_signal_is_not_lost_while_a_command_is_started(self):
        """Symptom: an interrupted demo goes on, and ends with 0.

        Sequence: SIGTERM comes while the demo forks for a command. Cause: its handler
        raises SystemExit inside a hook of the fork, where exceptions are only printed.
        """
        demo = subprocess.run(
            [sys.executable, "-c", SIGNALLED_IN_FORK],
            capture_output=True,
            timeout=PATIENCE,
        )
        self.assertEqual(demo.returncode, 128 + signal.SIGTERM, demo.stderr)
