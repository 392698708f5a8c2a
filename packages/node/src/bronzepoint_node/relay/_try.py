"""Sends a request once, to a target or to another region, and relays the answer."""

from collections.abc import Callable
from dataclasses import dataclass

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.events import EventTooLong, may_be_events
from bronzepoint_common.http import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
    ClientAnswer,
    ConnectFailed,
    Framing,
    HttpClient,
    NotSent,
    Unframed,
)
from bronzepoint_node.fleet import RouteKind

from ._answer_buffer import AnswerBuffer, BufferPool
from ._call import Answered, Call, MayHaveRun, NotRun, TryOutcome
from ._codec import Codec, TargetVerdict
from ._host_headers import (
    ARRIVED_HEADER,
    BLOCKED_HEADER,
    HOST_REFUSED_HEADER,
    RAN_HEADER,
    RUNS_HEADER,
)


@dataclass(frozen=True)
class Destination:
    """Address, headers and timeouts of one try.

    Attributes:
        address: ``host:port``.
        headers: Headers of the request.
        max_wait: Longest wait for the head and for each further piece of the answer,
            in seconds.
        max_idle: Maximum seconds that a reused connection may have been idle.
    """

    address: str
    headers: dict[str, str]
    max_wait: float
    max_idle: float


class _Withheld(Exception):
    """The target may get no requests any more."""


class Try:
    """Sends a request once and relays the answer.

    Args:
        client: Connections to targets or hosts.
        codec: Classifies answers and filters their headers.
        call: The request.
        on_progress: Called with the number of new events and the seconds since the
            previous ones; with zeros at the end of an answer that isn't streamed.
        on_head: Called with the verdict and the head of an answer.
        on_stream: Called with the headers of an answer before its first event is sent
            on.
        may_send: Returns whether the request may still be sent, once connected.
        buffers: Memory for answers that are collected whole.

    Attributes:
        progress_at: Monotonic time at which the latest part of the answer came or was
            sent on, or the request was sent.
        received_events: Number of events that this try has received.
        is_sending_on: Whether it waits for the caller to read a part of the answer, and
            reads no further part meanwhile.
        is_left: Whether another run takes over, and this one is about to be cancelled.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: Codec,
        call: Call,
        on_progress: Callable[[int, float], None],
        on_head: Callable[[TargetVerdict, ClientAnswer], None] | None = None,
        on_stream: Callable[[dict[str, str]], None] | None = None,
        may_send: Callable[[], bool] | None = None,
        buffers: BufferPool | None = None,
    ) -> None:
        self._client = client
        self._codec = codec
        self._call = call
        self._on_progress = on_progress
        self._on_head = on_head
        self._on_stream = on_stream
        self._may_send = may_send
        self._buffers = buffers or BufferPool()
        self.progress_at = monotonic()
        self.received_events = 0
        self.is_sending_on = False
        self.is_left = False

    def describe_progress(self) -> str:
        """Return what has come of the answer, for the log."""
        silent = monotonic() - self.progress_at
        return f"{self.received_events} events, silent for {silent:.2f} s"

    async def run(self, destination: Destination) -> TryOutcome:
        """Send the request and return the outcome.

        Raises:
            Disconnected: The caller closed its connection.
        """
        call = self._call
        request = call.exchange.request
        try:
            async with self._client.stream(
                destination.address,
                request.method,
                request.raw_path,
                destination.headers,
                call.body,
                destination.max_wait,
                before_send=self._before_send,
                unframed=Unframed.ACCEPTED,
                max_idle=destination.max_idle,
                accept=self._is_own_answer,
            ) as answer:
                self.progress_at = monotonic()
                return await self._relay_answer(answer)
        except _Withheld:
            return NotRun("withheld")
        except ConnectFailed as exc:
            return NotRun("connect_failed", timed_out=exc.timed_out)
        except NotSent as exc:
            return NotRun("not_sent") if exc.certain else MayHaveRun("cut")
        except AnswerTimeout:
            return MayHaveRun("timeout", timed_out=True, unread=True)
        except AnswerCut:
            return MayHaveRun("cut")
        except (AnswerMalformed, EventTooLong):
            return MayHaveRun("malformed")

    def _before_send(self) -> None:
        """Mark the request as written, unless its caller has disconnected.

        Raises:
            _Withheld: Its target may get no requests any more.
            Disconnected: The caller closed its connection while this host connected to
                the target, which takes time, above all on a lagging host.
        """
        self._call.exchange.check_connected()
        if self._may_send is not None and not self._may_send():
            raise _Withheld
        self._call.record_written()

    def _is_own_answer(self, status: int, headers: dict[str, str]) -> bool:
        verdict = self._codec.classify_answer(self._call.head, status, headers)
        return verdict is not TargetVerdict.OTHER_REQUEST

    async def _relay_answer(self, answer: ClientAnswer) -> TryOutcome:
        call = self._call
        if answer.headers.get(RAN_HEADER) == "no":
            reason = _refusal_reason(answer.headers)
            has_arrived = ARRIVED_HEADER in answer.headers
            return NotRun(reason, has_arrived, _retry_after(answer.headers))
        verdict = self._codec.classify_answer(call.head, answer.status, answer.headers)
        if self._on_head is not None:
            self._on_head(verdict, answer)
        match verdict:
            case TargetVerdict.REPLACED:
                return NotRun("replaced", by_target=True)
            case TargetVerdict.NOT_RUN:
                return NotRun(f"rejected_{answer.status}", by_target=True)
            case TargetVerdict.OTHER_REQUEST:
                return MayHaveRun("other_answer")
        is_stream = call.route.kind is RouteKind.STREAM and answer.status // 100 == 2
        if is_stream and may_be_events(answer.headers):
            return await self._stream_events(answer)
        return await self._collect(answer)

    async def _collect(self, answer: ClientAnswer) -> Answered | MayHaveRun:
        """Read an answer whole, so that another try can replace it if it breaks off.

        A long one is sent on as it arrives, as it would take too much memory.
        """
        with self._buffers.open() as buffer:
            async for piece in answer.chunks():
                self.progress_at = monotonic()
                if buffer.add(piece):
                    continue
                if answer.status // 100 == 5 or self._call.exchange.started:
                    # Nobody needs the rest of an error, and only the rest of a stream
                    # may follow a part of it.
                    return MayHaveRun("too_long")
                await self._stop_if_left()
                return await self._send_on(answer, buffer)
            self._on_progress(0, 0.0)
            headers = self._codec.answer_headers(answer.headers)
            return _answered(answer, headers, buffer.take())

    async def _send_on(self, answer: ClientAnswer, buffer: AnswerBuffer) -> Answered:
        """Send an answer to the caller piece by piece, from its beginning."""
        exchange = self._call.exchange
        headers = self._codec.answer_headers(answer.headers)
        shown = {name: v for name, v in headers.items() if name != RUNS_HEADER}
        self.is_sending_on = True
        await exchange.start_stream(answer.status, self._call.answer_headers(shown))
        await exchange.send(buffer.take())
        self.is_sending_on = False
        async for piece in answer.chunks():
            self.is_sending_on = True
            await exchange.send(piece)
            self.is_sending_on = False
            self.progress_at = monotonic()
        self._on_progress(0, 0.0)
        self.is_sending_on = True
        await exchange.end()
        return _answered(answer, headers, streamed=True)

    async def _stream_events(self, answer: ClientAnswer) -> Answered | MayHaveRun:
        """Send each complete event to the caller as it arrives.

        A stream that ends inside an event was broken off, however its end is marked.
        """
        call = self._call
        exchange = call.exchange
        call.events.discard_partial()
        headers = self._codec.answer_headers(answer.headers)
        has_events = False
        last = monotonic()
        async for piece in answer.chunks():
            await self._stop_if_left()
            before = call.events.count
            events = call.events.feed(piece)
            now = self.progress_at = monotonic()
            if not events:
                continue
            self.received_events += call.events.count - before
            call.record_events(now)
            self._on_progress(call.events.count - before, now - last)
            last = now
            if not has_events:
                has_events = True
                self._note_stream(answer.headers)
            self.is_sending_on = True
            if not exchange.started:
                await exchange.start_stream(answer.status, call.stream_headers(headers))
            await exchange.send(events)
            self.is_sending_on = False
            call.sent_events = call.events.count
            self.progress_at = monotonic()
        await self._stop_if_left()
        unfinished = len(call.events.remainder())
        framing = answer.framing.value
        call.notes[-1] += f", ends by {framing}, {unfinished} B after its last event"
        if call.events.is_inside_event:
            return MayHaveRun("cut_in_event")
        self.is_sending_on = True
        if not exchange.started:
            await exchange.start_stream(answer.status, call.stream_headers(headers))
        await exchange.send(call.events.remainder())
        await exchange.end()
        return _answered(answer, headers, streamed=True)

    async def _stop_if_left(self) -> None:
        """Wait to be cancelled if another run takes over.

        A part that was sent on now might be cut by the cancellation, while the other
        run goes on after it.
        """
        if self.is_left:
            await curio.Event().wait()

    def _note_stream(self, headers: dict[str, str]) -> None:
        if self._on_stream is not None:
            self._on_stream(headers)


def _answered(
    answer: ClientAnswer,
    headers: dict[str, str],
    body: bytes = b"",
    streamed: bool = False,
) -> Answered:
    by_close = answer.framing is Framing.CONNECTION_CLOSE
    return Answered(answer.status, headers, body, streamed, by_close)


def _refusal_reason(headers: dict[str, str]) -> str:
    """Return the reason of another host's refusal in the log and the metrics."""
    if BLOCKED_HEADER in headers:
        return "held"
    return "host_refused" if HOST_REFUSED_HEADER in headers else "region_refused"


def _retry_after(headers: dict[str, str]) -> float:
    try:
        return max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
