"""HTTP sessions with real processes, compared with golden files.

``BRONZEPOINT_GOLDEN=write make test TEST_OPTIONS=tests.test_golden`` records them again
and inserts them into docs/INTERFACE.md; review the difference before committing it.
"""

import os
import re
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_emulator.deployment import Deployment, wait_until
from bronzepoint_node.entry._refusals import STATUS
from bronzepoint_schema.generated.decisions import RefusalKind
from tests import _golden_site
from tests._golden_recorder import Recorder
from tests._golden_sessions import SESSIONS

ROOT = Path(__file__).resolve().parent.parent
GOLDEN = ROOT / "tests" / "golden" / "http"
PAGE = ROOT / "docs" / "INTERFACE.md"
WRITE = os.environ.get("BRONZEPOINT_GOLDEN") == "write"
SESSION_BLOCK = re.compile(r"<!-- session (\w+) -->\n.*?<!-- end -->", re.DOTALL)
BEFORE_DECLARATION = ("refusal_not_ready", "refusal_not_leader", "operator_init")
"""Sessions that run before the catalogue is declared."""
NOT_RECORDED = {
    RefusalKind.internal: "can't be triggered from outside",
    RefusalKind.draining: "occurs only briefly during a shutdown",
}
"""Kinds of refusals without a golden session, with the reason."""


def run_sessions():
    """Run all sessions on one deployment.

    Returns:
        The transcript of each session by name, ending with the error if it failed.
    """
    transcripts = {}
    with Deployment(_golden_site.layout(), declare=False) as dep:
        for session in SESSIONS:
            if session.name not in BEFORE_DECLARATION and "declared" not in transcripts:
                declare(dep)
                transcripts["declared"] = ""
            recorder = Recorder(dep, _golden_site.address_names(dep))
            try:
                session.run(recorder)
                transcripts[session.name] = recorder.transcript
            except Exception as exc:
                transcripts[session.name] = f"{recorder.transcript}{exc!r}\n"
    return transcripts


def declare(dep):
    """Declare all items except the first one, which a session declares."""
    operator = dep.operator()
    for item in dep.catalogue()[1:]:
        revision = operator.put(item)
    dep.wait_revision(revision)
    for host in dep.host_names():
        dep.wait_ready(host)
        dep.wait_targets(host)
    client = dep.client("bkk-1")
    wait_until(
        lambda: client.chat("archive", "ready?", 1).status == 200,
        "the regions know of each other",
    )


def insert_sessions(page):
    """Return the page with its session blocks replaced by the golden files."""

    def block(match):
        text = (GOLDEN / f"{match[1]}.txt").read_text().rstrip()
        return f"<!-- session {match[1]} -->\n```http\n{text}\n```\n<!-- end -->"

    return SESSION_BLOCK.sub(block, page)


class GoldenTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls):
        cls.transcripts = run_sessions()

    @params(*[session.name for session in SESSIONS])
    def test_session(self, name):
        path = GOLDEN / f"{name}.txt"
        if WRITE:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(self.transcripts[name])
        self.assertEqual(path.read_text(), self.transcripts[name])


class PageTest(unittest.TestCase):
    maxDiff = None

    def test_page_shows_the_golden_files(self):
        page = PAGE.read_text()
        if WRITE:
            PAGE.write_text(insert_sessions(page))
        self.assertEqual(PAGE.read_text(), insert_sessions(page))

    def test_page_shows_every_session(self):
        names = re.findall(r"<!-- session (\w+) -->", PAGE.read_text())
        self.assertEqual(sorted(names), sorted(session.name for session in SESSIONS))

    @params(*STATUS.items())
    def test_page_lists_each_refusal(self, kind, status):
        self.assertIn(f"| `{kind}` | {status} |", PAGE.read_text())

    @params(*RefusalKind)
    def test_each_refusal_is_recorded(self, kind):
        if kind in NOT_RECORDED:
            return
        found = [p for p in GOLDEN.glob("*.txt") if f'"{kind}"' in p.read_text()]
        self.assertTrue(found, f"no golden session shows {kind}")
