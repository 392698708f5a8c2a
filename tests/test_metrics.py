"""Counters are aggregated in memory and sent to statsd as sums, in few packets."""

import socket
import unittest

import curio

from bronzepoint_common.metrics import MAX_TIMING_MS, Metrics
from bronzepoint_schema.generated.settings import MetricsSection

WAIT = 30
"""Seconds after which a packet that hasn't arrived counts as lost."""


class MetricsTest(unittest.TestCase):
    def setUp(self):
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(WAIT)
        self.addCleanup(self.server.close)
        port = self.server.getsockname()[1]
        self.section = MetricsSection(statsd=f"127.0.0.1:{port}", interval=0.01)

    def receive(self) -> list[str]:
        return self.server.recv(65536).decode().splitlines()

    def test_sums_are_sent(self):
        async def run():
            metrics = Metrics(self.section, "h1")
            for _ in range(1000):
                metrics.incr("refusal.overloaded")
            metrics.gauge("in_progress", 7)
            metrics.timing("request", 1.5)
            await metrics.start()
            lines = await curio.run_in_thread(self.receive)
            await metrics.close()
            return metrics, lines

        metrics, lines = curio.run(run)
        self.assertIn("h1.refusal.overloaded:1000|c", lines)
        self.assertIn("h1.in_progress:7|g", lines)
        self.assertIn("h1.request:1.500000|ms", lines)
        self.assertEqual(metrics.counters(), {"refusal.overloaded": 1000})

    def test_only_differences_are_sent(self):
        async def run():
            metrics = await Metrics(self.section).start()
            metrics.incr("retry.connect_failed", 2)
            metrics.flush()
            first = await curio.run_in_thread(self.receive)
            metrics.incr("retry.connect_failed")
            await metrics.close()
            return first, await curio.run_in_thread(self.receive)

        first, second = curio.run(run)
        self.assertEqual(first, ["bronzepoint.retry.connect_failed:2|c"])
        self.assertEqual(second, ["bronzepoint.retry.connect_failed:1|c"])

    def test_percentiles_of_timings(self):
        metrics = Metrics()
        for ms in range(1, 101):
            metrics.timing("wait", ms)
        metrics.timing("wait", 10**9)
        found = metrics.percentiles()
        self.assertAlmostEqual(found["wait.p50"], 51, delta=1)
        self.assertAlmostEqual(found["wait.p99"], 100, delta=1)
        self.assertAlmostEqual(
            found["wait.max"], MAX_TIMING_MS, delta=MAX_TIMING_MS / 100
        )

    def test_without_server_everything_is_counted(self):
        async def run():
            metrics = await Metrics().start()
            metrics.incr("x")
            metrics.timing("y", 1)
            metrics.flush()
            await metrics.close()
            return metrics.counters()

        self.assertEqual(curio.run(run), {"x": 1})
