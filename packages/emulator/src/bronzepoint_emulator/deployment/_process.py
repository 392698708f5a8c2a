"""One process of a deployment, which never outlives the harness."""

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
POLL = 0.02
_LIBC = ctypes.CDLL(None, use_errno=True)
# The kernel sends the death signal when the *thread* that forked ends, not the
# process. Started from a short-lived thread, a daemon would be killed for no visible
# reason in the middle of a test, so one thread that lives as long as the process
# starts them all.
_SPAWNER = ThreadPoolExecutor(max_workers=1, thread_name_prefix="spawner")


def die_with(parent: int) -> Callable[[], None]:
    """Return what a child of the process ``parent`` runs first, to die with it.

    Without this a harness that is killed (SIGKILL, a crash) leaves its daemons
    behind; they would hold ports and answer the next test.
    """

    def prepare() -> None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(1)

    return prepare


def spawn(command: list[str], **options: Any) -> subprocess.Popen:
    """Start a child that ends with this process.

    A child that runs Python code before its program makes the parent run the hooks of
    ``os.register_at_fork``, and an exception raised there is only printed. A signal
    handler that raises SystemExit in them would end nothing: an interrupted demo went
    on and ended with 0. Handlers run on the main thread, so the child is started from
    another one.

    Args:
        command: Program and arguments.
        options: As of ``subprocess.Popen``.
    """
    prepare = die_with(os.getpid())
    future = _SPAWNER.submit(subprocess.Popen, command, preexec_fn=prepare, **options)
    return future.result()


class ManagedProcess:
    """A child process with its log file; ``start`` may be called again after it ended.

    Args:
        name: What messages call it.
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
        """Whether the child runs (a frozen one does)."""
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
                # A crash inside a library leaves a stack in the log, not silence.
                env=os.environ | {"PYTHONFAULTHANDLER": "1"},
            )
        self._frozen = False

    def _running(self) -> subprocess.Popen:
        if self._child is None or self._child.poll() is not None:
            raise ProcessEnded(self.name, self.exit_status, self.log_tail())
        return self._child

    @property
    def exit_status(self) -> int | None:
        """Exit status of the last run; None while it runs or before it ever ran."""
        return None if self._child is None else self._child.poll()

    def check(self) -> None:
        """Raise ProcessEnded where the child isn't running."""
        self._running()

    def wait_answering(self, address: str, path: str) -> None:
        """Wait until the child answers a GET, with whatever status.

        Raises:
            ProcessEnded: It has ended instead; at once, with the end of its log.
        """
        client = Client(address)

        def answers() -> int:
            self.check()
            return client.get(path).status

        wait_until(answers, f"{self.name} answers at {address}")

    def freeze(self) -> None:
        """Stop the child with SIGSTOP; returns once the kernel says it is stopped."""
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
        """Let a frozen child go on."""
        self._running().send_signal(signal.SIGCONT)
        self._frozen = False

    def kill(self) -> None:
        """End the child with SIGKILL and wait for it."""
        if self._child is None:
            return
        if self._child.poll() is None:
            self._child.kill()
        self._child.wait()

    def terminate(self) -> None:
        """Ask the child to shut down (SIGTERM) without waiting."""
        if self.alive:
            self._running().terminate()

    def wait(self, timeout: float) -> int:
        """Wait until the child has ended.

        Returns:
            Its exit status.

        Raises:
            subprocess.TimeoutExpired: It still runs after ``timeout`` seconds.
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
