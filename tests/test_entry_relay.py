"""Whole answers to their own callers: late, crossed, cut, abandoned, slow, stale."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import AnswerCut, Exchange
from bronzepoint_schema.generated.decisions import Outcome, RetryReason, TryResult
from tests._entry_site import (
    CHAT,
    LOOKUP,
    PATIENCE,
    Site,
    StandIn,
    caller,
    chat,
    echo_of,
    run,
    told,
    until,
    whole,
)

EVENTS = [b"data: 1\n\n", b"data: 2\n", b"\n", b"data: [DONE]\n\n"]
STREAM = {"Content-Type": "text/event-stream"}


async def stream(target: StandIn, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **echo_of(exchange)})
    for event in EVENTS:
        await exchange.send(event)
    await exchange.end()


async def cut_stream(target: StandIn, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **echo_of(exchange)})
    await exchange.send(EVENTS[0])
    await exchange.abort()


async def cut_before_first(target: StandIn, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **echo_of(exchange)})
    await exchange.abort()


async def cut_whole(target: StandIn, exchange: Exchange) -> None:
    await exchange.start_stream(200, echo_of(exchange))
    await exchange.send(b"part")
    await exchange.abort()


async def crossed(target: StandIn, exchange: Exchange) -> None:
    await exchange.respond(200, {"X-Request-Id": "another"}, b"another's answer")


async def unnamed(target: StandIn, exchange: Exchange) -> None:
    await exchange.respond(200, {}, b"somebody's answer")


async def failing(target: StandIn, exchange: Exchange) -> None:
    await exchange.respond(500, echo_of(exchange), b"broken")


async def overloaded(target: StandIn, exchange: Exchange) -> str:
    headers = {"Retry-After": "7", "X-Leaving": "1", **echo_of(exchange)}
    await exchange.respond(503, headers, b"full")
    return "not run"


async def endless(target: StandIn, exchange: Exchange) -> None:
    """Stream until the other side leaves."""
    await exchange.start_stream(200, {**STREAM, **echo_of(exchange)})
    await exchange.send(EVENTS[0])
    await exchange.wait_disconnect()
    await target.left.set()
    await exchange.abort()


async def silent(target: StandIn, exchange: Exchange) -> None:
    """Answer nothing until the other side leaves."""
    await exchange.wait_disconnect()
    await target.left.set()
    await exchange.abort()


def first_then(first, then=whole):
    """Play ``first`` at the first target that is asked, ``then`` at the others."""
    asked = []

    async def script(target: StandIn, exchange: Exchange) -> object:
        asked.append(target)
        return await (first if asked[0] is target else then)(target, exchange)

    return script


class RelayTest(unittest.TestCase):
    def test_a_stream_is_passed_on_whole_and_counted(self) -> None:
        async def main() -> None:
            async with Site("bkk", script=stream) as site:
                answer = await site.ask("bkk-1", body=chat(stream=True))
                self.assertEqual(answer.body, b"".join(EVENTS))
                self.assertEqual(answer.headers["content-type"], "text/event-stream")
                self.assertEqual(site.hosts["bkk-1"].policy.left, [(True, 3)])
                self.assertEqual((await site.record("bkk-1")).outcome, Outcome.answered)
                self.assertEqual(site.runs(), 1)

        run(main)

    def test_a_cut_stream_does_not_end_as_if_whole(self) -> None:
        """Symptom: a traveller reads half a translation as if it were all.

        The target dies in the middle of a stream. No other try may follow, since a
        part has gone out, and the caller's connection must not end in good order.
        """

        async def main() -> None:
            async with Site("bkk", targets=2, script=cut_stream) as site:
                with self.assertRaises(AnswerCut):
                    await site.ask("bkk-1", body=chat(stream=True))
                decisions = site.hosts["bkk-1"].decisions
                await until(lambda: decisions.records)
                (record,) = decisions.records.values()
                self.assertEqual(record.outcome, Outcome.refused)
                self.assertEqual(record.refusal.ran, "unknown")
                self.assertEqual([t.result for t in record.tries], [TryResult.cut])
                self.assertEqual(site.runs(record.request_id), 1)

        run(main)

    @params(
        ("cut before the first event", cut_before_first, "target_error", TryResult.cut),
        ("cut in a whole answer", cut_whole, "target_error", TryResult.cut),
        ("crossed", crossed, "target_error", TryResult.failed),
        ("without an id", unnamed, "target_error", TryResult.failed),
        ("error", failing, "target_error", TryResult.failed),
        ("full", overloaded, "target_leaving", TryResult.refused_by_target),
    )
    def test_a_failed_try_is_followed_by_another_target(
        self, _, first, reason, result
    ) -> None:
        """Symptom: a caller gets another's answer, a part, or an avoidable error."""

        async def main() -> None:
            async with Site("bkk", targets=2, script=first_then(first)) as site:
                answer = await site.ask("bkk-1", body=chat())
                self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())
                record = await site.record("bkk-1")
                self.assertEqual(
                    [one.result for one in record.tries], [result, TryResult.answered]
                )
                self.assertEqual(record.tries[0].retry_reason, RetryReason(reason))
                self.assertEqual(site.hosts["bkk-1"].targets.in_flight.total(), 0)

        run(main)

    @params(
        ("crossed", crossed, 502, "target_failed", "unknown"),
        ("error", failing, 502, "target_failed", "unknown"),
        ("cut", cut_whole, 502, "answer_cut", "unknown"),
        ("full", overloaded, 503, "overloaded", "no"),
    )
    def test_when_no_target_is_left_the_refusal_is_true(
        self, _, script, status, kind, ran
    ) -> None:
        async def main() -> None:
            async with Site("bkk", script=script) as site:
                refusal = told(site, await site.ask("bkk-1", body=chat()))
                self.assertEqual((refusal.status, refusal.refusal.kind), (status, kind))
                self.assertEqual(refusal.refusal.ran, ran)

        run(main)

    def test_a_target_that_can_not_be_reached_has_not_run_it(self) -> None:
        async def main() -> None:
            async with Site("bkk") as site:
                await site.targets["bkk-t1"].server.close(0.0)
                refusal = told(site, await site.ask("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "target_failed")
                self.assertEqual(refusal.refusal.ran, "no")
                self.assertEqual(
                    site.hosts["bkk-1"].policy.reasons, [RetryReason.connect_failed]
                )

        run(main)

    def test_a_leaving_target_is_heard_and_its_refusal_passed_on(self) -> None:
        async def main() -> None:
            async with Site("bkk", script=overloaded) as site:
                host = site.hosts["bkk-1"]
                host.policy.may_retry = lambda *args: False
                refusal = told(site, await site.ask("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "overloaded")
                self.assertEqual(refusal.refusal.ran, "no")
                self.assertEqual(refusal.headers["retry-after"], "7")
                self.assertEqual(host.targets.heard, ["bkk-t1"])

        run(main)

    def test_a_service_error_reaches_the_caller_when_nobody_else_answers(self) -> None:
        async def main() -> None:
            async with Site("bkk", script=failing) as site:
                host = site.hosts["bkk-1"]
                host.policy.may_retry = lambda *args: False
                answer = await site.ask("bkk-1", "GET", LOOKUP)
                self.assertEqual((answer.status, answer.body), (500, b"broken"))
                self.assertEqual(host.targets.results, [("bkk-t1", "failed")])

        run(main)

    def test_a_late_answer_does_not_reach_the_next_caller(self) -> None:
        """Symptom: a caller gets the answer to another caller's request.

        The target answers the first request twice on one connection. The second
        answer comes late, when the gateway has put the connection aside, and would be
        read as the answer to the next request there.
        """
        extra = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

        async def twice(target: StandIn, exchange: Exchange) -> None:
            await whole(target, exchange)
            await exchange._wire.send(extra, PATIENCE)

        async def main() -> None:
            async with Site("bkk", script=twice) as site:
                for _ in range(3):
                    answer = await site.ask("bkk-1", body=chat())
                    self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())

        run(main)

    def test_a_connection_that_the_target_closed_is_not_an_error(self) -> None:
        """Symptom: the first request after a target's restart fails."""

        async def main() -> None:
            async with Site("bkk") as site:
                target = site.targets["bkk-t1"]
                await site.ask("bkk-1", body=chat())
                address = target.server.address
                await target.server.close(0.0)
                target.server = type(target.server)(
                    target.handle, target.server._limits
                )
                await target.server.start(address)
                answer = await site.ask("bkk-1", body=chat())
                self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())

        run(main)

    @params(("in a stream", endless), ("before the answer", silent))
    def test_a_caller_that_leaves_stops_the_target(self, _, script) -> None:
        """Symptom: targets work on for callers who are gone, and others wait.

        The caller closes its connection while the target has not answered, or has
        sent some events and then nothing: no write of the gateway can fail.
        """

        async def main() -> None:
            async with Site("bkk", script=script) as site:
                host, target = site.hosts["bkk-1"], site.targets["bkk-t1"]

                async def ask() -> None:
                    async with site.client.stream(
                        host.server.address,
                        "POST",
                        CHAT,
                        caller("bkk"),
                        chat(stream=True),
                        PATIENCE,
                    ) as answer:
                        await answer.read()

                asking = await curio.spawn(ask)
                await until(lambda: target.asked)
                if script is silent:
                    await asking.cancel()
                await asking.wait()
                await target.left.wait()
                await until(lambda: host.decisions.records)
                (record,) = host.decisions.records.values()
                self.assertEqual(record.outcome, Outcome.cancelled)
                self.assertEqual(record.tries[0].result, TryResult.cancelled)
                self.assertEqual(host.targets.in_flight.total(), 0)
                self.assertEqual(host.policy.left, [(False, 0)])

        run(main)

    def test_the_reason_can_be_asked_for_as_soon_as_the_answer_is_there(self) -> None:
        """Symptom: "no such request" to a caller who asks why at once."""

        async def main() -> None:
            for script in (whole, stream):
                async with Site("bkk", script=script) as site:
                    host = site.hosts["bkk-1"]
                    wire_kept = []
                    host.decisions.record = _kept_before_end(host, wire_kept)
                    await site.ask("bkk-1", body=chat())
                    self.assertEqual(wire_kept[0], (Outcome.answered, False))

        run(main)

    def test_tokens_of_a_whole_answer_are_counted(self) -> None:
        async def with_usage(target: StandIn, exchange: Exchange) -> None:
            headers = {"Content-Type": "application/json", **echo_of(exchange)}
            body = b'{"choices": [], "usage": {"completion_tokens": 7}}'
            await exchange.respond(200, headers, body)

        async def main() -> None:
            async with Site("bkk", script=with_usage) as site:
                await site.ask("bkk-1", body=chat())
                self.assertEqual(site.hosts["bkk-1"].policy.left, [(True, 7)])

        run(main)

    def test_a_deadline_that_has_passed_is_refused_before_the_send(self) -> None:
        async def main() -> None:
            async with Site("bkk") as site:
                headers = {"Bronzepoint-Deadline": "0.0000001"}
                answer = await site.ask("bkk-1", body=chat(), headers=headers)
                refusal = told(site, answer)
                self.assertEqual(refusal.refusal.kind, "deadline_unreachable")
                self.assertEqual(refusal.refusal.ran, "no")

        run(main)

    def test_a_draining_host_serves_and_closes_its_connections(self) -> None:
        async def main() -> None:
            async with Site("bkk") as site:
                site.hosts["bkk-1"].gateway.drain()
                answer = await site.ask("bkk-1", body=chat())
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.headers["connection"], "close")

        run(main)


def _kept_before_end(host, seen: list):
    """Note, when a record is kept, its outcome and whether the answer has ended."""
    exchanges = []
    handle = host.gateway.handle

    async def noting(exchange: Exchange) -> None:
        exchanges.append(exchange)
        await handle(exchange)

    async def record(kept) -> None:
        seen.append((kept.outcome, exchanges[-1].ended))

    host.server._handler = noting
    return record
