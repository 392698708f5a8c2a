"""Run all tests, several modules at once, and count what passed and failed.

Usage: ``python tools/run_tests.py [MODULE …]``. Each module runs in a process group of
its own. A test that hangs is ended with a dump of its stacks, and a module that leaves
processes behind fails. Skipped tests and expected failures count as failed.

The counts go to standard output, and with ``--results FILE`` to a JSON file.
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

HEAVY_MARK = "bronzepoint_emulator.deployment"
"""Modules that import this start a whole deployment of processes."""
CORES = os.cpu_count() or 1
SLOTS = int(os.environ.get("BRONZEPOINT_TEST_SLOTS", min(max(CORES - 2, 3), 10)))
"""Modules at once, where each is light."""
HEAVY_SLOTS = 3
"""Slots of a heavy module: with more deployments at once, or fewer cores for each,
timeouts would fire from load alone."""

TEST_TIMEOUT = 180.0
"""Seconds for one test."""
MODULE_TIMEOUT = 900.0
"""Seconds for one module."""
LEFTOVER_WAIT = 10.0
"""Seconds that processes may take to end after their module has."""
POLL = 0.05
SHOWN = 20_000
"""Characters of a failed module's output at its start and as many at its end: a
process that fails in a loop would fill the log of CI."""


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
        """File with what the module prints."""
        return self.folder / f"{self.name}.out"

    @property
    def outcomes_path(self) -> Path:
        """File with one line for each start and each outcome."""
        return self.folder / f"{self.name}.outcomes"

    def start(self) -> None:
        """Start the worker, in a process group of its own."""
        command = [sys.executable, "-X", "faulthandler", str(WORKER), self.name]
        command += [str(self.outcomes_path), str(TEST_TIMEOUT)]
        # hypothesis draws the same examples each time where CI is set: a verdict must
        # not depend on the run.
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
        """Return whether the worker has ended; ends it when it takes too long."""
        if self.process.poll() is not None:
            return True
        if time.monotonic() - self.started > MODULE_TIMEOUT:
            self.kill()
            self.process.wait()
            self.outcomes[f"{self.name} (took too long)"] = "failed"
            return True
        return False

    def finish(self) -> None:
        """Read the outcomes, and kill what the module left behind."""
        self._read_outcomes()
        if self.process.returncode != 0 and not self.failed:
            status = self.process.returncode
            self.outcomes[f"{self.name} (ended with status {status})"] = "failed"
        if not self.outcomes:
            self.outcomes[f"{self.name} (has no test)"] = "failed"
        if not self.group_ends():
            self.kill()
            self.outcomes[f"{self.name} (left processes behind)"] = "failed"

    @property
    def failed(self) -> list[str]:
        """Tests that did not pass."""
        return [name for name, outcome in self.outcomes.items() if outcome != "passed"]

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Send a signal to the worker and all that it has started."""
        try:
            os.killpg(self.process.pid, number)
        except ProcessLookupError:
            return

    def group_ends(self) -> bool:
        """Return whether all processes of the group end by themselves."""
        deadline = time.monotonic() + LEFTOVER_WAIT
        while time.monotonic() < deadline:
            # An ended worker that nobody has asked for still counts as a member.
            self.process.poll()
            try:
                os.killpg(self.process.pid, 0)
            except ProcessLookupError:
                return True
            time.sleep(POLL)
        return False

    def _read_outcomes(self) -> None:
        if not self.outcomes_path.exists():
            return
        for line in self.outcomes_path.read_text().splitlines():
            outcome, name = json.loads(line)
            if outcome == "start":
                # Stays so where the worker dies in this test: not passed.
                self.outcomes.setdefault(name, "hung or crashed")
            elif self.outcomes.get(name) in (None, "hung or crashed", "passed"):
                self.outcomes[name] = outcome


class TestRun:
    """All modules of one run.

    Args:
        modules: Dotted names of the test modules.
        folder: Where the output of the modules is kept while it runs.
        root: Folder from which the modules are imported.
    """

    def __init__(self, modules: list[str], folder: Path, root: Path = ROOT) -> None:
        runs = [
            ModuleRun(name, _count_slots(root, name), folder, root) for name in modules
        ]
        # The long ones first, so that none is left to run alone at the end.
        self._waiting = sorted(runs, key=lambda run: (-run.slots, run.name))
        self._running: list[ModuleRun] = []
        self.done: list[ModuleRun] = []

    def run(self) -> None:
        """Run every module; what still runs is killed where this is interrupted."""
        try:
            while self._waiting or self._running:
                self._start_what_fits()
                self._collect_ended()
                time.sleep(POLL)
        finally:
            self._stop_running()

    def _start_what_fits(self) -> None:
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
        # Terminated first: a deployment's harness ends its processes on SIGTERM.
        for run in self._running:
            run.kill(signal.SIGTERM)
        for run in self._running:
            if not run.group_ends():
                run.kill()


def _count_slots(root: Path, module: str) -> int:
    source = root.joinpath(*module.split(".")).with_suffix(".py")
    if source.exists() and HEAVY_MARK in source.read_text():
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
    left_out = len(text) - 2 * SHOWN
    if left_out <= 0:
        return text
    return f"{text[:SHOWN]}\n… {left_out} characters left out …\n{text[-SHOWN:]}"


def find_modules() -> list[str]:
    """Return the dotted name of each test module."""
    return sorted(f"tests.{path.stem}" for path in TESTS.glob("test_*.py"))


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def main() -> int:
    """Run the tests and return the exit status: 0 where all passed."""
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
