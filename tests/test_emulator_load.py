"""The load generator against a server that answers, refuses or truncates answers."""

import unittest

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.http import HttpClient, HttpLimits, HttpServer
from bronzepoint_common.load import Latency, Load, LoadCall, LoadLimits, arrival_times
from bronzepoint_schema.generated.decisions import (
    ErrorBody,
    Ran,
    Refusal,
    RefusalKind,
)

CALL = LoadCall("POST", "/v1/chat/completions", b"{}")


def refusal(ran, retry_after):
    kind = RefusalKind.overloaded
    return msgspec.json.encode(ErrorBody(Refusal(kind, "m", "r", ran, retry_after)))


class FakeHost:
    """Answers with one part after another and repeats the last one."""

    def __init__(self, *parts):
        self.parts = list(parts)
        self.seen = 0
        self.server = HttpServer(self.handle, HttpLimits())

    async def handle(self, exchange):
        self.seen += 1
        part = self.parts.pop(0) if len(self.parts) > 1 else self.parts[0]
        await exchange.body()
        match part:
            case "answer":
                await exchange.start_stream(200, {"bronzepoint-region": "bkk"})
                for _ in range(3):
                    await exchange.send(b"data: x\n\n")
                    await curio.sleep(0.01)
                await exchange.end()
            case "cut":
                await exchange.start_stream(200, {})
                await exchange.send(b"data: x\n\n")
                await exchange.abort()
            case bytes():
                await exchange.respond(503, {}, part)


async def run_load(host, call=CALL, count=1, **limits):
    await host.server.start("127.0.0.1:0")
    client = HttpClient(HttpLimits(), 1.0)
    load = Load(client, [host.server.address], "token", LoadLimits(**limits))
    result = await load.run([0.0] * count, lambda number: call)
    await client.close()
    await host.server.close(1.0)
    return result


class LoadTest(unittest.TestCase):
    def test_answer_is_measured(self):
        result = curio.run(run_load, FakeHost("answer"), CALL, 5)
        self.assertEqual(result.outcomes, {"answered": 5})
        self.assertEqual(result.regions, {"bkk": 5})
        self.assertEqual((result.first.count, result.total.count), (5, 5))
        self.assertGreaterEqual(result.total.percentile(50), 0.02)

    @params(
        ([refusal(Ran.no, 0.01), "answer"], True, 2, "answered"),
        ([refusal(Ran.no, 0.01), "answer"], False, 2, "answered"),
        ([refusal(Ran.unknown, 0.01), "answer"], False, 1, "refused"),
        ([refusal(Ran.no, 0.0), "answer"], True, 1, "refused"),
        ([refusal(Ran.no, 60.0), "answer"], True, 1, "refused"),
        (["cut", "answer"], True, 2, "answered"),
        (["cut", "answer"], False, 1, "cut"),
        ([refusal(Ran.no, 0.01)], True, 3, "refused"),
    )
    def test_caller_retries_only_where_safe(self, parts, idempotent, seen, outcome):
        """A retry must not run a non-idempotent request twice.

        After a refusal or a truncated answer, the caller may only retry if the request
        is idempotent or did not run, and if the refusal allows a retry soon.
        """
        host = FakeHost(*parts)
        call = msgspec.structs.replace(CALL, idempotent=idempotent)
        result = curio.run(run_load, host, call)
        self.assertEqual(host.seen, seen)
        self.assertEqual(result.outcomes, {outcome: 1})
        self.assertEqual(sum(result.retries.values()), seen - 1)

    def test_arrivals_above_the_concurrency_limit_are_dropped(self):
        result = curio.run(lambda: run_load(FakeHost("answer"), count=4, in_progress=1))
        self.assertEqual(result.outcomes, {"answered": 1, "dropped": 3})

    def test_unreachable_host(self):
        async def run():
            client = HttpClient(HttpLimits(), 1.0)
            load = Load(client, ["127.0.0.1:1"], "token")
            return await load.run([0.0], lambda number: CALL)

        self.assertEqual(curio.run(run).outcomes, {"unreachable": 1})


class ArrivalsTest(unittest.TestCase):
    def test_same_seed_gives_the_same_times(self):
        first = list(arrival_times(100.0, 10.0, 7))
        self.assertEqual(first, list(arrival_times(100.0, 10.0, 7)))
        self.assertNotEqual(first, list(arrival_times(100.0, 10.0, 8)))
        self.assertTrue(850 < len(first) < 1150)


class LatencyTest(unittest.TestCase):
    def test_percentiles(self):
        latency = Latency()
        self.assertEqual(latency.percentile(99), 0.0)
        for number in range(1, 101):
            latency.add(number / 1000)
        self.assertAlmostEqual(latency.percentile(50), 0.050, places=3)
        self.assertAlmostEqual(latency.percentile(99), 0.099, places=3)
