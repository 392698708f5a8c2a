"""What a host concludes from the progress of the host that it forwarded to."""

import unittest
from types import SimpleNamespace

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.events import EventSplitter
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.relay._call import Call
from bronzepoint_node.relay._run_watch import RunWatch
from bronzepoint_node.relay._sender import Sender
from bronzepoint_node.relay._try import Try
from bronzepoint_platform._codec import PlatformCodec
from bronzepoint_schema.generated.forwarded_runs import ProgressReply

ROUTE = ServedRoute("r", "h", "/", RouteKind.IDEMPOTENT, 5.0, 1.0, 0, (), 2)
EVENT = b"id: 1\ndata: 1\n\n"
WAY = 0.05
"""Seconds that the end of an answer takes longer than a reply about it."""


class FinishedHost:
    """Host that has just sent the end of its answer.

    Attributes:
        answer_came: Set a little after its reply.
    """

    def __init__(self):
        self.answer_came = curio.Event()

    async def progress(self, forwarding):
        await curio.spawn(self._deliver, daemon=True)
        return ProgressReply(working=False)

    async def _deliver(self):
        await curio.sleep(WAY)
        await self.answer_came.set()


class ProgressSender(Sender):
    """Sender that finds a replacement at once."""

    def __init__(self, host):
        self._forwarded_runs = host
        self._handover = self

    async def find(self, call, running):
        return "place"

    def claim(self, call, successor):
        call.successor = successor
        return True

    async def run_once(self, call):
        host = self._forwarded_runs
        attempt = SimpleNamespace(
            progress_at=monotonic(), received_events=1, is_sending_on=False
        )

        async def is_confirmed():
            return await self._has_lost_contact(attempt, None)

        async def receive():
            await host.answer_came.wait()
            return "answer"

        watch = RunWatch(attempt, 0.0, lambda: 0.0, lambda: False, is_confirmed)
        return await self._run(call, watch, receive())


class UnreadCaller:
    """Caller that has read nothing of its answer yet."""

    started = False
    request = None

    def __init__(self):
        self.is_reading = curio.Event()
        self.waits = curio.Event()

    async def start_stream(self, status, headers):
        self.started = True

    async def send(self, data):
        await self.waits.set()
        await self.is_reading.wait()

    async def end(self):
        pass


async def events_sent_before_and_after():
    """Return the events that count as sent while the caller doesn't read, and after."""
    exchange = UnreadCaller()
    now = monotonic()
    events = EventSplitter(None)
    call = Call(exchange, None, ROUTE, b"", now, now + 60.0, True, events)
    call.notes.append("try")

    async def chunks():
        yield EVENT

    framing = SimpleNamespace(value="chunked")
    answer = SimpleNamespace(status=200, headers={}, chunks=chunks, framing=framing)
    attempt = Try(None, PlatformCodec(), call, lambda events, seconds: None)
    task = await curio.spawn(attempt._stream_events, answer)
    await exchange.waits.wait()
    before = call.sent_events
    await exchange.is_reading.set()
    await task.join()
    return before, call.sent_events


async def last_event_and_events_sent():
    """Return what a run is left with whose second event comes as it is left, and whose
    caller has read the first event only."""
    exchange = UnreadCaller()
    await exchange.is_reading.set()
    now = monotonic()
    events = EventSplitter(None)
    call = Call(exchange, None, ROUTE, b"", now, now + 60.0, True, events)
    call.notes.append("try")

    async def chunks():
        yield EVENT
        exchange.is_reading.clear()
        while call.successor is None:
            await curio.sleep(0)
        yield EVENT.replace(b"1", b"2")

    framing = SimpleNamespace(value="chunked")
    answer = SimpleNamespace(status=200, headers={}, chunks=chunks, framing=framing)
    attempt = Try(None, PlatformCodec(), call, lambda events, seconds: None)

    async def is_confirmed():
        return True

    watch = RunWatch(attempt, 0.0, lambda: 0.0, lambda: False, is_confirmed)
    sender = ProgressSender(None)
    async with curio.meta.finalize(answer.chunks()) as pieces:
        answer.chunks = lambda: pieces
        await sender._run(call, watch, attempt._stream_events(answer))
    return call.events.last_id, call.sent_events


class TestProgress(unittest.TestCase):
    def test_end_of_an_answer_on_its_way_is_awaited(self):
        """Guards against a second run while the answer of the first is on its way."""

        async def main():
            call = SimpleNamespace(route=ROUTE, successor=None)
            found = await ProgressSender(FinishedHost()).run_once(call)
            self.assertEqual((found, call.successor), ("answer", None))

        curio.run(main)

    def test_events_that_the_other_host_does_not_read_are_not_sent(self):
        """Guards against a run that is left since its events wait for a slow link."""
        found = curio.run(events_sent_before_and_after)
        self.assertEqual(found, (0, 1))

    def test_no_event_is_lost_between_two_runs(self):
        """Guards against an event that is missing in a stream, because it came just as
        its run was left, and was cut while the caller didn't read."""
        last, sent = curio.run(last_event_and_events_sent)
        self.assertEqual((last, sent), ("1", 1))


if __name__ == "__main__":
    unittest.main()
