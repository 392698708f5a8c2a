"""Runs CI: the tests, the linter, and checks that generated files are current.

Ends with the line ``N passed, N failed``, in which each check counts as a test. The
exit status is 0 if no tests failed other than those listed in KNOWN-RED.txt.

Needs only Python 3.11: ``make test`` installs everything else.
"""

import json
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from known_red import KnownRed, KnownRedError, read_known_red

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PYTHON = str(ROOT / ".venv" / "bin" / "python")

CHECKS = {
    "format and lint": ["make", "--no-print-directory", "lint"],
    "generated code is current": [PYTHON, "tools/generate.py", "--check"],
    "generated pages are current": [PYTHON, "tools/document_settings.py", "--check"],
}


@dataclass
class Results:
    """Number of passed and names of failed tests and checks."""

    passed: int
    failed: list[str]


def run(command: list[str], **environment: str) -> int:
    """Run a command in the repository without capturing output; return its status."""
    print(f"== {' '.join(command)}", flush=True)
    try:
        return subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
        ).returncode
    except FileNotFoundError:
        print(f"{command[0]} is not installed")
        return 127


def run_tests() -> Results:
    """Run ``make test`` and read its results."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "results.json"
        status = run(
            ["make", "--no-print-directory", "test"],
            PYTHON=sys.executable,
            TEST_OPTIONS=f"--results {path}",
        )
        if not path.exists():
            return Results(0, ["make test (ended before the tests did)"])
        found = json.loads(path.read_text())
    results = Results(found["passed"], found["failed"])
    if status != 0 and not results.failed:
        results.failed.append(f"make test (ended with status {status})")
    return results


def run_checks(results: Results) -> None:
    """Run the checks and add their outcomes to the results."""
    for name, command in CHECKS.items():
        if run(command) == 0:
            results.passed += 1
        else:
            results.failed.append(name)


def unknown_failures(results: Results, known: list[KnownRed]) -> list[str]:
    """Print the known failures and return the unknown ones."""
    known_by_test = {line.test: line for line in known}
    for name in results.failed:
        if name in known_by_test:
            line = known_by_test[name]
            print(f"known red: {name}: {line.cause} (issue {line.issue})")
    for name in known_by_test:
        if name not in results.failed:
            print(f"known red, but didn't fail: {name}; take it off KNOWN-RED.txt")
    return [name for name in results.failed if name not in known_by_test]


def main() -> int:
    """Run tests and checks and print the summary."""
    results = run_tests()
    run_checks(results)
    try:
        known = read_known_red(KNOWN_RED)
    except KnownRedError as exc:
        print(exc)
        results.failed.append("KNOWN-RED.txt")
        known = []
    unknown = unknown_failures(results, known)
    for name in unknown:
        print(f"failed: {name}")
    print(f"{results.passed} passed, {len(results.failed)} failed", flush=True)
    return 1 if unknown else 0


if __name__ == "__main__":
    sys.exit(main())
