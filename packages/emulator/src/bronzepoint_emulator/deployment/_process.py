"""A child process that never outlives the harness."""

import ctypes
import os
import signal
import subprocess
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from bronzepoint_emulator.deployment._client import Client
from bronzepoint_emulator.deployment._errors import ProcessEnded
from bronzepoint_emulator.deployment._waiting import wait_until

PR_SET_PDEATHSIG = 1
"""Option of prctl(2) that sets the parent-death signal."""
POLL = 0.02
"""Seconds between two checks of a process's state."""
_LIBC = ctypes.CDLL(None, use_errno=True)
# The kernel sends the parent-death signal when the *thread* that forked ends, not the
# process. A daemon started from a short-lived thread would be killed in the middle of a
# test, so a single thread that runs as long as the process starts all children.
_SPAWNER = ThreadPoolExecutor(max_workers=1, thread_name_prefix="spawner")


def end_with_parent(parent: int) -> Callable[[], None]:
    """Return a preexec function that makes a child end with its ``parent``.

    Without it, a harness that is killed or crashes would leave its daemons running;
    they would hold ports and answer the requests of the next test.
    """

    def prepare() -> None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(1)

    return prepare


def spawn(command: list[str], **options: Any) -> subprocess.Popen:
    """Start a child process that ends with this process.

    With a ``preexec_fn``, the parent runs the hooks of ``os.register_at_fork``, and an
    exception raised in them is only printed. A SystemExit that a signal handler raises
    there would be lost: an interrupted demo continued and exited with 0. Handlers run
    on the main thread, so the child is started from another one.

    Args:
        command: Program and arguments.
        options: Options of ``subprocess.Popen``.
    """
    prepare = end_with_parent(os.getpid())
    future = _SPAWNER.submit(subprocess.Popen, command, preexec_fn=prepare, **options)
    return future.result()


class ManagedProcess:
    """A child process with a log file; it may be started again after it ended.

    Args:
        name: Name used in messages.
        command: Program and arguments.
        log: File that its output is appended to.
    """

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self.command = command
        self.log = log
        self._child: subprocess.Popen | None = None
        self._frozen = False

    @property
    def pid(self) -> int:
        """Process id of the running child."""
        return self._running().pid

    @property
    def alive(self) -> bool:
        """Whether the child is running or suspended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the child."""
        with self.log.open("ab") as log:
            self._child = spawn(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                # Log a stack trace if the process crashes in native code.
                env=os.environ | {"PYTHONFAULTHANDLER": "1"},
            )
        self._frozen = False

    def _running(self) -> subprocess.Popen:
        if self._child is None or self._child.poll() is not None:
            raise ProcessEnded(self.name, self.exit_status, self.log_tail())
        return self._child

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last run; None while running or if never started."""
        return None if self._child is None else self._child.poll()

    def check(self) -> None:
        """Raise ProcessEnded if the child is not running."""
        self._running()

    def wait_answering(self, address: str, path: str) -> None:
        """Wait until the child answers a GET request with any status.

        Raises:
            ProcessEnded: The child has ended; raised immediately, with its log's tail.
        """
        client = Client(address)

        def answers() -> int:
            self.check()
            return client.get(path).status

        wait_until(answers, f"{self.name} answers at {address}")

    def freeze(self) -> None:
        """Suspend the child (SIGSTOP) and wait until the kernel reports it stopped."""
        child = self._running()
        child.send_signal(signal.SIGSTOP)
        self._frozen = True
        while self._kernel_state(child.pid) not in ("T", "t"):
            time.sleep(POLL)

    @staticmethod
    def _kernel_state(pid: int) -> str:
        stat = Path(f"/proc/{pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0]

    def thaw(self) -> None:
        """Resume a suspended child (SIGCONT)."""
        self._running().send_signal(signal.SIGCONT)
        self._frozen = False

    def kill(self) -> None:
        """Kill the child (SIGKILL) and wait until it has ended."""
        if self._child is None:
            return
        if self._child.poll() is None:
            self._child.kill()
        self._child.wait()

    def terminate(self) -> None:
        """Ask the child to shut down (SIGTERM) without waiting for it."""
        if self.alive:
            self._running().terminate()

    def wait(self, timeout: float) -> int:
        """Wait until the child has ended.

        Returns:
            Its exit status.

        Raises:
            subprocess.TimeoutExpired: It is still running after ``timeout`` seconds.
        """
        if self._child is None:
            raise ProcessEnded(self.name, None, "")
        return self._child.wait(timeout)

    def close(self, timeout: float) -> None:
        """End the child: SIGTERM, then SIGKILL after ``timeout`` seconds."""
        if not self.alive:
            return
        if self._frozen:
            self.thaw()
        self.terminate()
        try:
            self.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()

    def log_tail(self, lines: int = 30) -> str:
        """Return the last lines of the log."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
