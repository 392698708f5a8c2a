"""Run one test module with nose2 and write each outcome to a file, line by line.

Usage: ``python tools/_test_worker.py MODULE OUTCOMES TIMEOUT``.
`run_tests` starts it in the root of the repository.
"""

import faulthandler
import json
import os
import sys
from pathlib import Path

import nose2


class OutcomeWriter:
    """nose2 hooks that write what begins and how it ends.

    A worker that hangs or crashes can't report at its end. Each line is written at
    once, so the parent sees the test that had begun and counts it as failed.

    Args:
        path: File that gets the lines.
        timeout: Seconds that one test may take before the worker is ended.
    """

    def __init__(self, path: Path, timeout: float) -> None:
        self._file = path.open("a", buffering=1)
        self._timeout = timeout

    def startTest(self, event) -> None:  # noqa: N802
        """Note the start, and set the alarm that ends a hung test."""
        # A test that waits for what never comes would hang CI with no word of where;
        # the dump of all stacks shows it, and exit lets the parent go on.
        faulthandler.dump_traceback_later(self._timeout, exit=True)
        self._write("start", event.test)

    def stopTest(self, event) -> None:  # noqa: N802
        """Take the alarm back."""
        faulthandler.cancel_dump_traceback_later()

    def testOutcome(self, event) -> None:  # noqa: N802
        """Note the outcome of a test, or of one of its subtests."""
        test = getattr(event.test, "test_case", event.test)
        if event.outcome == "subtest":
            if event.exc_info is not None:
                self._write("failed", test)
            return
        # An expected failure or a skip is no pass: it hides a test that doesn't hold.
        passed = event.outcome == "passed" and event.expected
        self._write("passed" if passed else event.outcome, test)

    def _write(self, outcome: str, test) -> None:
        # nose2 puts the parameters of a table row on lines of their own.
        name = test.id().splitlines()[0]
        self._file.write(json.dumps([outcome, name]) + "\n")


def main() -> None:
    """Run the module named on the command line."""
    module, path, timeout = sys.argv[1:]
    # nose2 imports the tests as a package of the working folder.
    sys.path[0] = os.getcwd()
    writer = OutcomeWriter(Path(path), float(timeout))
    hooks = [(name, writer) for name in ("startTest", "stopTest", "testOutcome")]
    nose2.main(module=None, argv=["nose2", module], extraHooks=hooks)


if __name__ == "__main__":
    main()
