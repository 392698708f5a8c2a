"""Runs one test module with nose2 and writes each outcome as a line to a file.

Usage: ``python tools/_test_worker.py MODULE OUTCOMES TIMEOUT``.
`run_tests` starts it in the root folder of the repository.
"""

import faulthandler
import json
import os
import sys
from pathlib import Path

import nose2


class OutcomeWriter:
    """nose2 hooks that write the start and outcome of each test.

    A worker that hangs or crashes can't write a report at its end. Each line is
    therefore flushed at once, so that the parent process sees which test was running
    and counts it as failed.

    Args:
        path: File to append to.
        timeout: Seconds that one test may take before the worker is ended.
    """

    def __init__(self, path: Path, timeout: float) -> None:
        self._file = path.open("a", buffering=1)
        self._timeout = timeout

    def startTest(self, event) -> None:  # noqa: N802
        """Write the start of a test and set the timer that ends it if it hangs."""
        # A hung test would block CI without showing where it hangs. The timer dumps all
        # stacks and exits, so that the parent process can continue.
        faulthandler.dump_traceback_later(self._timeout, exit=True)
        self._write("start", event.test)

    def stopTest(self, event) -> None:  # noqa: N802
        """Cancel the timer."""
        faulthandler.cancel_dump_traceback_later()

    def testOutcome(self, event) -> None:  # noqa: N802
        """Write the outcome of a test, or of one of its subtests."""
        test = getattr(event.test, "test_case", event.test)
        if event.outcome == "subtest":
            if event.exc_info is not None:
                self._write("failed", test)
            return
        # Expected failures and skips don't count as passed, as they would hide tests
        # that fail.
        passed = event.outcome == "passed" and event.expected
        self._write("passed" if passed else event.outcome, test)

    def _write(self, outcome: str, test) -> None:
        # nose2 adds the parameters of a parameterised test on further lines.
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
