"""The demo as a separate process, run to its end and interrupted."""

import os
import signal
import subprocess
import sys
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_emulator.deployment import new_nonce, wait_until

COMMAND = [sys.executable, "-m", "bronzepoint_emulator.demo"]
MARK_VARIABLE = "BRONZEPOINT_TEST_MARK"
SIGNALLED_IN_FORK = """
import os, signal
from rich.console import Console
from bronzepoint_emulator.demo._command_line import CommandLine
from bronzepoint_emulator.deployment._cleanup import register

register(lambda: None)
os.register_at_fork(after_in_parent=lambda: os.kill(os.getpid(), signal.SIGTERM))
CommandLine(Console(quiet=True), [], "token").run("--help")
"""
MAX_WAIT = 120.0
"""Seconds for the demo to end."""
RUNNING_STEP = "A streamed answer"


def marked_processes(mark):
    """Return the ids of processes with the mark in their environment."""
    wanted = f"{MARK_VARIABLE}={mark}".encode()
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
            env=os.environ | {MARK_VARIABLE: mark, "PYTHONUNBUFFERED": "1"},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(demo.stdout.close)
        self.addCleanup(demo.wait, MAX_WAIT)
        self.addCleanup(demo.kill)
        return demo, mark

    def test_all_steps_pass_and_no_process_remains(self):
        demo, mark = self.start()
        output, _ = demo.communicate(timeout=MAX_WAIT)
        self.assertEqual(demo.returncode, 0, output)
        self.assertIn("Every step held", output)
        self.assertEqual(marked_processes(mark), [])

    @params(signal.SIGINT, signal.SIGTERM, signal.SIGKILL)
    def test_interrupted_demo_leaves_no_process(self, number):
        """Daemons must not keep running and holding ports after an interrupt.

        The demo is interrupted while its deployment is up and a command runs. By
        default, child processes do not end with their parent.
        """
        demo, mark = self.start()
        for line in demo.stdout:
            if RUNNING_STEP in line:
                break
        self.assertGreater(len(marked_processes(mark)), 9)
        demo.send_signal(number)
        demo.stdout.read()
        self.assertNotEqual(demo.wait(MAX_WAIT), 0)
        wait_until(lambda: not marked_processes(mark), "no process remains")

    def test_signal_during_the_start_of_a_command_ends_the_demo(self):
        """A demo interrupted by SIGTERM must not continue and exit with 0.

        If the signal arrives while the demo forks for a command, its handler raises
        SystemExit in a fork hook, where exceptions are only printed.
        """
        demo = subprocess.run(
            [sys.executable, "-c", SIGNALLED_IN_FORK],
            capture_output=True,
            timeout=MAX_WAIT,
        )
        self.assertEqual(demo.returncode, 128 + signal.SIGTERM, demo.stderr)
