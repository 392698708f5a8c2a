"""The operations page documents all reasons and log lines of the code."""

import re
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_node.placement import RejectReason

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = ROOT / "packages" / "node" / "src" / "bronzepoint_node"
REASON = re.compile(r"(?:NotRun|MayHaveRun)\(\s*f?\"([a-z_]+)")


def reasons():
    """Return the reasons that the relay records for tries without an answer."""
    found = set()
    for path in (SOURCES / "relay").glob("*.py"):
        found.update(REASON.findall(path.read_text()))
    return sorted(found)


class TestPage(unittest.TestCase):
    @params(*RejectReason)
    def test_each_refusal_is_documented(self, reason):
        self.assertIn(f"`refused_{reason}`", PAGE)

    def test_each_failure_of_a_try_is_documented(self):
        self.assertGreater(len(reasons()), 8)
        missing = [r for r in reasons() if f"`{r}" not in PAGE]
        self.assertEqual(missing, [])

    @params("core", "fleet", "placement", "quarantine", "quota", "relay")
    def test_each_log_line_is_documented(self, package):
        lines = set()
        for path in (SOURCES / package).glob("*.py"):
            text = path.read_text()
            lines.update(re.findall(r"_log\.(?:info|warning)\(\s*\"([^\"]+)\"", text))
        missing = [line for line in lines if f"`{line}`" not in PAGE]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
