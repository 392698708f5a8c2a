"""What a target reports of itself, if another program wrote it or it is damaged."""

import unittest
from types import SimpleNamespace

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.targets._byte_budget import ByteBudget
from bronzepoint_node.targets._poller import Poller

REPORT = {"running": 1, "waiting": 0, "slots": 4, "as_of": 5.0}
DEEP = b'{"more":' + b"[" * 3000 + b"]" * 3000 + b"}"


class FakeTarget:
    """A tracked target that records its reports."""

    def __init__(self):
        self.reports = []
        self.failed_polls = 0
        self.target = SimpleNamespace(address="10.0.0.1:80")
        self.memory = SimpleNamespace(last_event=0, gaps=0, note_events=None)

    def note_report(self, report, unix_time):
        self.reports.append(report)


class FakeClient:
    """An HTTP client that gets the same answer to every request."""

    def __init__(self, body):
        self._body = body

    async def fetch(self, *arguments, **options):
        return SimpleNamespace(status=200, body=self._body)


class TestReports(unittest.TestCase):
    """Guards against a report that no message to another host can carry: the heartbeat
    of this host sums up the reports of all targets."""

    def poll(self, kind, body):
        tracked, metrics = FakeTarget(), Metrics()
        poller = Poller(
            tracked,
            FakeClient(body),
            lambda: 1.0,
            ByteBudget(1e6),
            lambda tracked: None,
            metrics,
        )
        curio.run(poller._poll_load if kind == "load" else poller._poll_events)
        return tracked.reports, metrics.counters().get("targets.poll_failed.malformed")

    @params(
        {"slots": 2**70},
        {"running": 2**53},
        {"waiting": -1},
    )
    def test_numbers_out_of_range_are_malformed(self, changes):
        body = msgspec.json.encode(REPORT)
        self.assertEqual(len(self.poll("load", body)[0]), 1)
        changed = ", ".join(f'"{key}": {value}' for key, value in changes.items())
        damaged = body[:-1] + b", " + changed.encode() + b"}"
        self.assertEqual(self.poll("load", damaged), ([], 1))

    @params("load", "events")
    def test_deeply_nested_answer_is_malformed(self, kind):
        self.assertEqual(self.poll(kind, DEEP), ([], 1))


if __name__ == "__main__":
    unittest.main()
