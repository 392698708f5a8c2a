"""Runs test modules in parallel and counts passed and failed tests.

Usage: ``python tools/run_tests.py [MODULE …]``. Each module runs in its own process
group. A test that hangs is ended with a dump of its stacks, and a module that leaves
processes running fails. Skipped tests and expected failures count as failed.

The counts are printed, and with ``--results FILE`` also written to a JSON file.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TESTS = ROOT / "tests"
WORKER = ROOT / "tools" / "_test_worker.py"

HEAVY_IMPORT = "bronzepoint_emulator.deployment"
"""Text in the source of heavy modules, which start a deployment of processes."""
CORES = os.cpu_count() or 1
SLOTS = int(os.environ.get("BRONZEPOINT_TEST_SLOTS", min(max(CORES - 2, 3), 10)))
"""Number of light modules that run in parallel."""
HEAVY_SLOTS = 3
"""Number of slots that a heavy module takes.

With more deployments in parallel, or fewer cores for each, timeouts would expire from
the load alone.
"""

TEST_TIMEOUT = 180.0
"""Maximum seconds for one test."""
MODULE_TIMEOUT = 900.0
"""Maximum seconds for one module."""
LEFTOVER_WAIT = 10.0
"""Seconds that processes may take to end after their module has ended."""
POLL_INTERVAL = 0.05
"""Seconds between two checks of the running modules."""
MAX_SHOWN = 20_000
"""Characters shown from the start and from the end of a failed module's output.

Without a limit, a process that fails in a loop would fill the CI log.
"""


@dataclass
class ModuleRun:
    """One test module and the process that runs it."""

    name: str
    slots: int
    folder: Path
    root: Path = ROOT
    process: subprocess.Popen | None = None
    started: float = 0.0
    outcomes: dict[str, str] = field(default_factory=dict)

    @property
    def output_path(self) -> Path:
        """File with the output of the module."""
        return self.folder / f"{self.name}.out"

    @property
    def outcomes_path(self) -> Path:
        """File with a line for the start and for the outcome of each test."""
        return self.folder / f"{self.name}.outcomes"

    def start(self) -> None:
        """Start the worker in its own process group."""
        command = [sys.executable, "-X", "faulthandler", str(WORKER), self.name]
        command += [str(self.outcomes_path), str(TEST_TIMEOUT)]
        # With CI set, hypothesis generates the same examples in every run, so that
        # results are reproducible.
        environment = {**os.environ, "CI": "true"}
        with self.output_path.open("wb") as output:
            self.process = subprocess.Popen(
                command,
                cwd=self.root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self.started = time.monotonic()

    def poll(self) -> bool:
        """Return whether the worker has ended; kill it if it exceeds its time."""
        if self.process.poll() is not None:
            return True
        if time.monotonic() - self.started > MODULE_TIMEOUT:
            self.kill()
            self.process.wait()
            self.outcomes[f"{self.name} (took too long)"] = "failed"
            return True
        return False

    def finish(self) -> None:
        """Read the outcomes, and kill processes that the module left running."""
        self._read_outcomes()
        if self.process.returncode != 0 and not self.failed:
            status = self.process.returncode
            self.outcomes[f"{self.name} (ended with status {status})"] = "failed"
        if not self.outcomes:
            self.outcomes[f"{self.name} (has no test)"] = "failed"
        if not self.wait_group_end():
            self.kill()
            self.outcomes[f"{self.name} (left processes behind)"] = "failed"

    @property
    def failed(self) -> list[str]:
        """Names of the tests that did not pass."""
        return [name for name, outcome in self.outcomes.items() if outcome != "passed"]

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the worker and all processes started by it."""
        try:
            os.killpg(self.process.pid, number)
        except ProcessLookupError:
            return

    def wait_group_end(self) -> bool:
        """Wait for the process group and return whether it ends without a signal."""
        deadline = time.monotonic() + LEFTOVER_WAIT
        while time.monotonic() < deadline:
            # Reap the worker: until then it still counts as a member of the group.
            self.process.poll()
            try:
                os.killpg(self.process.pid, 0)
            except ProcessLookupError:
                return True
            time.sleep(POLL_INTERVAL)
        return False

    def _read_outcomes(self) -> None:
        if not self.outcomes_path.exists():
            return
        for line in self.outcomes_path.read_text().splitlines():
            outcome, name = json.loads(line)
            if outcome == "start":
                # Remains if the worker dies during this test, which then hasn't passed.
                self.outcomes.setdefault(name, "hung or crashed")
            elif self.outcomes.get(name) in (None, "hung or crashed", "passed"):
                self.outcomes[name] = outcome


class TestRun:
    """Runs several modules in parallel.

    Args:
        modules: Dotted names of the test modules.
        folder: Folder for the output of the modules.
        root: Folder from which the modules are imported.
    """

    def __init__(self, modules: list[str], folder: Path, root: Path = ROOT) -> None:
        runs = [
            ModuleRun(name, _count_slots(root, name), folder, root) for name in modules
        ]
        # Heavy modules first, so that none of them runs alone at the end.
        self._waiting = sorted(runs, key=lambda run: (-run.slots, run.name))
        self._running: list[ModuleRun] = []
        self.done: list[ModuleRun] = []

    def run(self) -> None:
        """Run every module; if interrupted, stop those that are still running."""
        try:
            while self._waiting or self._running:
                self._start_waiting()
                self._collect_ended()
                time.sleep(POLL_INTERVAL)
        finally:
            self._stop_running()

    def _start_waiting(self) -> None:
        free = SLOTS - sum(run.slots for run in self._running)
        for run in list(self._waiting):
            if run.slots <= free or not self._running:
                run.start()
                self._waiting.remove(run)
                self._running.append(run)
                free -= run.slots

    def _collect_ended(self) -> None:
        for run in list(self._running):
            if not run.poll():
                continue
            run.finish()
            self._running.remove(run)
            self.done.append(run)
            _print_module(run)

    def _stop_running(self) -> None:
        # SIGTERM first, so that the harness of a deployment can end its processes.
        for run in self._running:
            run.kill(signal.SIGTERM)
        for run in self._running:
            if not run.wait_group_end():
                run.kill()


def _count_slots(root: Path, module: str) -> int:
    source = root.joinpath(*module.split(".")).with_suffix(".py")
    if source.exists() and HEAVY_IMPORT in source.read_text():
        return min(HEAVY_SLOTS, SLOTS)
    return 1


def _print_module(run: ModuleRun) -> None:
    seconds = time.monotonic() - run.started
    failed = run.failed
    word = "FAILED" if failed else "ok"
    total = len(run.outcomes)
    print(f"{word:6} {run.name}: {total} tests in {seconds:.1f} s", flush=True)
    if failed:
        print(_shorten(run.output_path.read_text(errors="replace")), flush=True)


def _shorten(text: str) -> str:
    left_out = len(text) - 2 * MAX_SHOWN
    if left_out <= 0:
        return text
    return (
        f"{text[:MAX_SHOWN]}\n… {left_out} characters left out …\n{text[-MAX_SHOWN:]}"
    )


def find_modules() -> list[str]:
    """Return the dotted names of all test modules."""
    return sorted(f"tests.{path.stem}" for path in TESTS.glob("test_*.py"))


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Run the tests and return the exit status, which is 0 if all passed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("modules", nargs="*", help="such as tests.test_logs")
    parser.add_argument("--results", type=Path, help="JSON file for the counts")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, _interrupt)
    with tempfile.TemporaryDirectory() as folder:
        tests = TestRun(arguments.modules or find_modules(), Path(folder))
        try:
            tests.run()
        except KeyboardInterrupt:
            print("Interrupted; the tests that ran are stopped.")
            return 130
    outcomes: dict[str, str] = {}
    for run in tests.done:
        outcomes.update(run.outcomes)
    failed = {name: word for name, word in outcomes.items() if word != "passed"}
    for name, word in sorted(failed.items()):
        print(f"not passed: {name}: {word}")
    passed = len(outcomes) - len(failed)
    if arguments.results:
        results = {"passed": passed, "failed": sorted(failed)}
        arguments.results.write_text(json.dumps(results))
    print(f"{passed} passed, {len(failed)} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
