"""KNOWN-RED.txt: tests that fail for a known fault and don't fail CI.

Each line reads ``TEST, CAUSE, ISSUE``; three lines at most.
"""

from dataclasses import dataclass
from pathlib import Path

MAX_LINES = 3


class KnownRedError(Exception):
    """KNOWN-RED.txt has too many lines, or one that can't be understood."""


@dataclass(frozen=True)
class KnownRed:
    """One failing test and why it may fail for now."""

    test: str
    cause: str
    issue: str


def read_known_red(path: Path) -> list[KnownRed]:
    """Read the file; a missing one says that no test may fail.

    Raises:
        KnownRedError: Too many lines, or a line without its three parts.
    """
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        problem = f"{path.name} has {len(lines)} lines; mend tests until {MAX_LINES}"
        raise KnownRedError(f"{problem} are left")
    return [_parse_line(path, line) for line in lines]


def _parse_line(path: Path, line: str) -> KnownRed:
    test, _, rest = line.partition(",")
    cause, _, issue = rest.rpartition(",")
    if not (test.strip() and cause.strip() and issue.strip()):
        raise KnownRedError(
            f"{path.name}: write 'TEST, CAUSE, ISSUE' in place of {line!r}"
        )
    return KnownRed(test.strip(), cause.strip(), issue.strip())
