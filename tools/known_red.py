"""Reads KNOWN-RED.txt, the list of tests that may fail without failing CI.

Each line has the form ``TEST, CAUSE, ISSUE`` and names one test. The number of lines
is limited, except for those of issues whose tests their users exempt.
"""

import re
from dataclasses import dataclass
from pathlib import Path

MAX_LINES = 23
EXEMPT_ISSUES = {"73"}
"""Issues whose lines don't count towards the limit."""
_TEST_NAME = re.compile(r"\btests\.test_\w+\.\w+\.test_")


class KnownRedError(Exception):
    """KNOWN-RED.txt has too many lines or a malformed one."""


@dataclass(frozen=True)
class KnownRed:
    """One test that may fail, and why."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Read the file; if it is missing, no test may fail.

    Raises:
        KnownRedError: The file has too many lines, or one without its three parts.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    found = [_parse_line(path, line) for line in lines]
    counted = [line for line in found if line.issue not in EXEMPT_ISSUES]
    if len(counted) > MAX_LINES:
        problem = f"{path.name} has {len(counted)} lines"
        raise KnownRedError(f"{problem}; repair tests until {MAX_LINES} are left")
    return found


def _parse_line(path: Path, line: str) -> KnownRed:
    test, _, rest = line.partition(",")
    cause, _, issue = rest.rpartition(",")
    if not (test.strip() and cause.strip() and issue.strip()):
        raise KnownRedError(
            f"{path.name}: write 'TEST, CAUSE, ISSUE' in place of {line!r}"
        )
    if _TEST_NAME.search(cause):
        raise KnownRedError(f"{path.name}: write one line for each test of {line!r}")
    return KnownRed(test.strip(), cause.strip(), issue.strip())
