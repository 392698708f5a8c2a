"""Relaying of responses: complete, to the right caller, and cancelled on disconnect."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import AnswerCut, Exchange
from bronzepoint_schema.generated.decisions import Outcome, RetryReason, TryResult
from tests._entry_site import (
    CHAT,
    LOOKUP,
    MAX_WAIT,
    Site,
    StubTarget,
    caller,
    chat,
    complete_answer,
    read_refusal,
    request_id_header,
    run,
    wait_until,
)

EVENTS = [b"data: 1\n\n", b"data: 2\n", b"\n", b"data: [DONE]\n\n"]
STREAM = {"Content-Type": "text/event-stream"}


async def stream(target: StubTarget, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **request_id_header(exchange)})
    for event in EVENTS:
        await exchange.send(event)
    await exchange.end()


async def truncated_stream(target: StubTarget, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **request_id_header(exchange)})
    await exchange.send(EVENTS[0])
    await exchange.abort()


async def stream_ended_inside_event(target: StubTarget, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **request_id_header(exchange)})
    await exchange.send(EVENTS[0] + EVENTS[1])
    await exchange.end()


async def ended_inside_first_event(target: StubTarget, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **request_id_header(exchange)})
    await exchange.send(EVENTS[0][:-1])
    await exchange.end()


async def truncated_before_first_event(target: StubTarget, exchange: Exchange) -> None:
    await exchange.start_stream(200, {**STREAM, **request_id_header(exchange)})
    await exchange.abort()


async def truncated_answer(target: StubTarget, exchange: Exchange) -> None:
    await exchange.start_stream(200, request_id_header(exchange))
    await exchange.send(b"part")
    await exchange.abort()


async def wrong_request_id(target: StubTarget, exchange: Exchange) -> None:
    await exchange.respond(200, {"X-Request-Id": "another"}, b"another's answer")


async def no_request_id(target: StubTarget, exchange: Exchange) -> None:
    await exchange.respond(200, {}, b"somebody's answer")


async def failing(target: StubTarget, exchange: Exchange) -> None:
    await exchange.respond(500, request_id_header(exchange), b"broken")


async def overloaded(target: StubTarget, exchange: Exchange) -> str:
    headers = {"Retry-After": "7", "X-Leaving": "1", **request_id_header(exchange)}
    await exchange.respond(503, headers, b"full")
    return "not run"


async def stalled_stream(target: StubTarget, exchange: Exchange) -> None:
    """Send one event, then nothing until the other side disconnects."""
    await exchange.start_stream(200, {**STREAM, **request_id_header(exchange)})
    await exchange.send(EVENTS[0])
    await exchange.wait_disconnect()
    await target.left.set()
    await exchange.abort()


async def never_answers(target: StubTarget, exchange: Exchange) -> None:
    """Send nothing until the other side disconnects."""
    await exchange.wait_disconnect()
    await target.left.set()
    await exchange.abort()


def first_target_then(first, then=complete_answer):
    """Run ``first`` at the first target that gets a request, ``then`` at the others."""
    called = []

    async def script(target: StubTarget, exchange: Exchange) -> object:
        called.append(target)
        return await (first if called[0] is target else then)(target, exchange)

    return script


class RelayTest(unittest.TestCase):
    def test_stream_is_relayed_completely_and_counted(self) -> None:
        async def main() -> None:
            async with Site("bkk", script=stream) as site:
                answer = await site.request("bkk-1", body=chat(stream=True))
                self.assertEqual(answer.body, b"".join(EVENTS))
                self.assertEqual(answer.headers["content-type"], "text/event-stream")
                self.assertEqual(site.hosts["bkk-1"].policy.left, [(True, 3)])
                self.assertEqual((await site.record("bkk-1")).outcome, Outcome.answered)
                self.assertEqual(site.runs(), 1)

        run(main)

    @params(truncated_stream, stream_ended_inside_event)
    def test_truncated_stream_does_not_end_cleanly(self, script) -> None:
        """Guards against a truncated stream that looks complete to the caller.

        The target fails in the middle of a stream. There may be no retry, since a part
        was already sent, and the caller's connection must not be closed cleanly.
        """

        async def main() -> None:
            async with Site("bkk", targets=2, script=script) as site:
                with self.assertRaises(AnswerCut):
                    await site.request("bkk-1", body=chat(stream=True))
                decisions = site.hosts["bkk-1"].decisions
                await wait_until(lambda: decisions.records)
                (record,) = decisions.records.values()
                self.assertEqual(record.outcome, Outcome.refused)
                self.assertEqual(record.refusal.ran, "unknown")
                self.assertEqual([t.result for t in record.tries], [TryResult.cut])
                self.assertEqual(site.runs(record.request_id), 1)

        run(main)

    @params(
        (
            "truncated before the first event",
            truncated_before_first_event,
            "target_error",
            TryResult.cut,
        ),
        (
            "ended inside the first event",
            ended_inside_first_event,
            "target_error",
            TryResult.cut,
        ),
        (
            "truncated unstreamed answer",
            truncated_answer,
            "target_error",
            TryResult.cut,
        ),
        ("wrong request id", wrong_request_id, "target_error", TryResult.failed),
        ("without an id", no_request_id, "target_error", TryResult.failed),
        ("error", failing, "target_error", TryResult.failed),
        ("full", overloaded, "target_leaving", TryResult.refused_by_target),
    )
    def test_failed_try_is_retried_at_another_target(
        self, _, first, reason, result
    ) -> None:
        """Guards against wrong or truncated responses, and avoidable errors."""

        async def main() -> None:
            async with Site("bkk", targets=2, script=first_target_then(first)) as site:
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())
                record = await site.record("bkk-1")
                self.assertEqual(
                    [one.result for one in record.tries], [result, TryResult.answered]
                )
                self.assertEqual(record.tries[0].retry_reason, RetryReason(reason))
                self.assertEqual(site.hosts["bkk-1"].targets.in_flight.total(), 0)

        run(main)

    @params(
        ("wrong request id", wrong_request_id, 502, "target_failed", "unknown"),
        ("error", failing, 502, "target_failed", "unknown"),
        ("truncated", truncated_answer, 502, "answer_cut", "unknown"),
        ("full", overloaded, 503, "overloaded", "no"),
    )
    def test_refusal_after_the_last_target_reports_if_it_ran(
        self, _, script, status, kind, ran
    ) -> None:
        async def main() -> None:
            async with Site("bkk", script=script) as site:
                refusal = read_refusal(site, await site.request("bkk-1", body=chat()))
                self.assertEqual((refusal.status, refusal.refusal.kind), (status, kind))
                self.assertEqual(refusal.refusal.ran, ran)

        run(main)

    def test_unreachable_target_reports_not_run(self) -> None:
        async def main() -> None:
            async with Site("bkk") as site:
                await site.targets["bkk-t1"].server.close(0.0)
                refusal = read_refusal(site, await site.request("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "target_failed")
                self.assertEqual(refusal.refusal.ran, "no")
                self.assertEqual(
                    site.hosts["bkk-1"].policy.reasons, [RetryReason.connect_failed]
                )

        run(main)

    def test_leaving_target_is_noted_and_its_refusal_relayed(self) -> None:
        async def main() -> None:
            async with Site("bkk", script=overloaded) as site:
                host = site.hosts["bkk-1"]
                host.policy.may_retry = lambda *args: False
                refusal = read_refusal(site, await site.request("bkk-1", body=chat()))
                self.assertEqual(refusal.refusal.kind, "overloaded")
                self.assertEqual(refusal.refusal.ran, "no")
                self.assertEqual(refusal.headers["retry-after"], "7")
                self.assertEqual(host.targets.reported_leaving, ["bkk-t1"])

        run(main)

    def test_service_error_is_relayed_if_no_retry_is_allowed(self) -> None:
        async def main() -> None:
            async with Site("bkk", script=failing) as site:
                host = site.hosts["bkk-1"]
                host.policy.may_retry = lambda *args: False
                answer = await site.request("bkk-1", "GET", LOOKUP)
                self.assertEqual((answer.status, answer.body), (500, b"broken"))
                self.assertEqual(host.targets.results, [("bkk-t1", "failed")])

        run(main)

    def test_late_answer_does_not_reach_the_next_caller(self) -> None:
        """Guards against a caller that gets the response to another's request.

        The target answers the first request twice on one connection. The second
        response arrives when the connection is back in the pool, and would be read as
        the response to the next request.
        """
        extra = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

        async def twice(target: StubTarget, exchange: Exchange) -> None:
            await complete_answer(target, exchange)
            await exchange._wire.send(extra, MAX_WAIT)

        async def main() -> None:
            async with Site("bkk", script=twice) as site:
                for _ in range(3):
                    answer = await site.request("bkk-1", body=chat())
                    self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())

        run(main)

    def test_connection_closed_by_target_is_replaced(self) -> None:
        """Guards against failures on stale connections after a target's restart."""

        async def main() -> None:
            async with Site("bkk") as site:
                target = site.targets["bkk-t1"]
                await site.request("bkk-1", body=chat())
                address = target.server.address
                await target.server.close(0.0)
                target.server = type(target.server)(
                    target.handle, target.server._limits
                )
                await target.server.start(address)
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.body, f"bkk:{site.last_id}".encode())

        run(main)

    @params(("bkk",), ("bkk", "sgp"))
    def test_only_place_is_tried_again_after_a_stale_connection(self, *regions) -> None:
        """Guards against refusals because a kept connection was just being closed.

        The only target or host that may serve the request is there, and closes the
        connection as the request is written to it.
        """

        async def main() -> None:
            async with Site(*regions) as site:
                server = site.targets["bkk-t1"].server
                if regions[-1] != "bkk":
                    site.hosts["bkk-1"].policy.away = ["bkk"]
                    server = site.hosts[f"{regions[-1]}-1"].server
                handle, exchanges = server._handler, []

                async def close_on_the_second(exchange) -> None:
                    exchanges.append(exchange)
                    if len(exchanges) == 2:
                        await exchange.abort()
                    else:
                        await handle(exchange)

                server._handler = close_on_the_second
                await site.request("bkk-1", body=chat())
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.status, 200)
                tries = (await site.record("bkk-1")).tries
                results = [one.result.value for one in tries]
                self.assertEqual(results, ["not_sent", "answered"])
                self.assertEqual(len({one.target for one in tries}), 1)

        run(main)

    @params(("in a stream", stalled_stream), ("before the answer", never_answers))
    def test_caller_disconnect_cancels_the_target(self, _, script) -> None:
        """Guards against targets that keep running requests of disconnected callers.

        The caller disconnects before the response, or after some events, while the
        target sends nothing. The gateway then writes nothing to the caller, so no
        write can fail.
        """

        async def main() -> None:
            async with Site("bkk", script=script) as site:
                host, target = site.hosts["bkk-1"], site.targets["bkk-t1"]

                async def read_first_event() -> None:
                    async with site.client.stream(
                        host.server.address,
                        "POST",
                        CHAT,
                        caller("bkk"),
                        chat(stream=True),
                        MAX_WAIT,
                    ) as answer:
                        await answer.read()

                reading = await curio.spawn(read_first_event)
                await wait_until(lambda: target.requests)
                if script is never_answers:
                    await reading.cancel()
                await reading.wait()
                await target.left.wait()
                await wait_until(lambda: host.decisions.records)
                (record,) = host.decisions.records.values()
                self.assertEqual(record.outcome, Outcome.cancelled)
                self.assertEqual(record.tries[0].result, TryResult.cancelled)
                self.assertEqual(host.targets.in_flight.total(), 0)
                self.assertEqual(host.policy.left, [(False, 0)])

        run(main)

    def test_record_is_saved_before_the_answer_ends(self) -> None:
        """Guards against a record that is missing right after the response."""

        async def main() -> None:
            for script in (complete_answer, stream):
                async with Site("bkk", script=script) as site:
                    host = site.hosts["bkk-1"]
                    recorded = []
                    host.decisions.record = _record_noting_end(host, recorded)
                    await site.request("bkk-1", body=chat())
                    self.assertEqual(recorded[0], (Outcome.answered, False))

        run(main)

    def test_tokens_of_a_complete_answer_are_counted(self) -> None:
        async def with_usage(target: StubTarget, exchange: Exchange) -> None:
            headers = {
                "Content-Type": "application/json",
                **request_id_header(exchange),
            }
            body = b'{"choices": [], "usage": {"completion_tokens": 7}}'
            await exchange.respond(200, headers, body)

        async def main() -> None:
            async with Site("bkk", script=with_usage) as site:
                await site.request("bkk-1", body=chat())
                self.assertEqual(site.hosts["bkk-1"].policy.left, [(True, 7)])

        run(main)

    def test_request_past_its_deadline_is_refused_before_the_send(self) -> None:
        async def main() -> None:
            async with Site("bkk") as site:
                headers = {"Bronzepoint-Deadline": "0.0000001"}
                answer = await site.request("bkk-1", body=chat(), headers=headers)
                refusal = read_refusal(site, answer)
                self.assertEqual(refusal.refusal.kind, "deadline_unreachable")
                self.assertEqual(refusal.refusal.ran, "no")

        run(main)

    def test_draining_host_serves_and_closes_its_connections(self) -> None:
        async def main() -> None:
            async with Site("bkk") as site:
                site.hosts["bkk-1"].gateway.drain()
                answer = await site.request("bkk-1", body=chat())
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.headers["connection"], "close")

        run(main)


def _record_noting_end(host, seen: list):
    """Return a `record` function that notes its outcome and if the response ended."""
    exchanges = []
    handle = host.gateway.handle

    async def noting_exchange(exchange: Exchange) -> None:
        exchanges.append(exchange)
        await handle(exchange)

    async def record(saved_record) -> None:
        seen.append((saved_record.outcome, exchanges[-1].ended))

    host.server._handler = noting_exchange
    return record
