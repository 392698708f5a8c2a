"""One try: a request sent to a target or to another region, and its answer."""

from collections.abc import Callable
from dataclasses import dataclass

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
    ClientAnswer,
    ConnectFailed,
    HttpClient,
    NotSent,
)
from bronzepoint_node.fleet import RouteKind

from ._call import Answered, Call, MayHaveRun, NotRun, TryOutcome
from ._codec import Codec, TargetVerdict
from ._host_headers import HELD_HEADER, RAN_HEADER


@dataclass(frozen=True)
class Destination:
    """Where a try goes.

    Attributes:
        address: ``host:port``.
        headers: Headers of the request.
        patience: Seconds to wait for the head of the answer.
        stall: Seconds to wait for each further piece.
        max_idle: Seconds for which the connection may have been idle.
    """

    address: str
    headers: dict[str, str]
    patience: float
    stall: float
    max_idle: float


class Try:
    """Sends one request and passes its answer on.

    Args:
        client: Connections to targets and hosts.
        codec: Words of callers and targets.
        call: The request.
        progressed: Called with the number of events that have come and the seconds
            since the one before; with none at the end of an answer without events.
    """

    def __init__(
        self,
        client: HttpClient,
        codec: Codec,
        call: Call,
        progressed: Callable[[int, float], None],
    ) -> None:
        self._client = client
        self._codec = codec
        self._call = call
        self._progressed = progressed

    async def run(self, where: Destination) -> TryOutcome:
        """Return how the try ended; raises Disconnected where the caller left."""
        call = self._call
        request = call.exchange.request
        try:
            async with self._client.stream(
                where.address,
                request.method,
                request.raw_path,
                where.headers,
                call.body,
                where.patience,
                before_send=self._begin_to_write,
                unframed=True,
                max_idle=where.max_idle,
                accept=self._is_own,
            ) as answer:
                answer.timeout = where.stall
                return await self._take(answer)
        except ConnectFailed:
            return NotRun("connect_failed")
        except NotSent as exc:
            return NotRun("not_sent") if exc.certain else MayHaveRun("cut")
        except AnswerTimeout:
            return MayHaveRun("timeout", timed_out=True)
        except AnswerCut:
            return MayHaveRun("cut")
        except AnswerMalformed:
            return MayHaveRun("malformed")

    def _begin_to_write(self) -> None:
        """Count the request as written, unless its caller has left.

        Raises:
            Disconnected: It has; connecting takes time, above all on a host that lags.
        """
        self._call.exchange.check_connected()
        self._call.note_written()

    def _is_own(self, status: int, headers: dict[str, str]) -> bool:
        verdict = self._codec.judge(self._call.head, status, headers)
        return verdict is not TargetVerdict.OTHER_REQUEST

    async def _take(self, answer: ClientAnswer) -> TryOutcome:
        call = self._call
        if answer.headers.get(RAN_HEADER) == "no" and HELD_HEADER in answer.headers:
            return NotRun("held", retry_after=_retry_after(answer.headers))
        if answer.headers.get(RAN_HEADER) == "no":
            return NotRun("region_refused", retry_after=_retry_after(answer.headers))
        match self._codec.judge(call.head, answer.status, answer.headers):
            case TargetVerdict.REPLACED:
                return NotRun("replaced", by_target=True)
            case TargetVerdict.NOT_RUN:
                return NotRun(f"rejected_{answer.status}", by_target=True)
            case TargetVerdict.OTHER_REQUEST:
                return MayHaveRun("other_answer")
        if call.route.kind is RouteKind.STREAM and answer.status // 100 == 2:
            return await self._pass_on(answer)
        parts = [piece async for piece in answer.chunks()]
        self._progressed(0, 0.0)
        headers = self._codec.answer_headers(answer.headers)
        return Answered(answer.status, headers, b"".join(parts))

    async def _pass_on(self, answer: ClientAnswer) -> Answered:
        """Give each whole event on as it comes."""
        call = self._call
        exchange = call.exchange
        call.events.restart()
        headers = self._codec.answer_headers(answer.headers)
        last = monotonic()
        async for piece in answer.chunks():
            before = call.events.count
            events = call.events.feed(piece)
            if not events:
                continue
            now = monotonic()
            call.note_events(now)
            self._progressed(call.events.count - before, now - last)
            last = now
            if not exchange.started:
                await exchange.start_stream(answer.status, headers)
            await exchange.send(events)
        if not exchange.started:
            await exchange.start_stream(answer.status, headers)
        await exchange.send(call.events.rest())
        await exchange.end()
        return Answered(answer.status, headers, b"", streamed=True)


def _retry_after(headers: dict[str, str]) -> float:
    try:
        return max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
