"""An open-loop load: requests are sent when they are due, answered or not."""

import itertools
import time
from collections.abc import Callable, Iterable

import curio
import msgspec
from msgspec import Struct

from bronzepoint_common.http import (
    AnswerCut,
    AnswerTimeout,
    ClientAnswer,
    ConnectFailed,
    HttpClient,
    HttpError,
)
from bronzepoint_common.load._call import LoadCall
from bronzepoint_common.load._result import LoadResult, OutcomeKind
from bronzepoint_schema.generated.decisions import ErrorBody, Ran, Refusal

OK = 200
UNKNOWN_REFUSAL = "unknown"


class LoadLimits(Struct):
    """Bounds of a load.

    Attributes:
        in_progress: Requests at once; what is due beyond that is dropped and counted.
        timeout: Seconds to wait for the next piece of an answer.
        tries: How often one request is sent at most.
        patience: Longest ``Retry-After`` in seconds that a caller waits for.
    """

    in_progress: int = 500
    timeout: float = 30.0
    tries: int = 3
    patience: float = 5.0


class _Try(Struct):
    """How one try ended, and whether and when another one makes sense."""

    outcome: OutcomeKind
    refusal: str = ""
    may_retry: bool = False
    retry_after: float = 0.0


class Load:
    """Sends calls to hosts in turn and measures their answers.

    Args:
        client: Connections.
        hosts: Addresses, used in turn; a retry goes to the next one.
        token: Bearer token of the caller.
        limits: Bounds.
    """

    def __init__(
        self,
        client: HttpClient,
        hosts: list[str],
        token: str,
        limits: LoadLimits | None = None,
    ) -> None:
        self.result = LoadResult()
        self._client = client
        self._hosts = itertools.cycle(hosts)
        self._token = token
        self._limits = limits or LoadLimits()
        self._in_progress = 0

    async def run(
        self,
        times: Iterable[float],
        make_call: Callable[[int], LoadCall],
        progress: Callable[[LoadResult], None] | None = None,
    ) -> LoadResult:
        """Send a call at each of the times, and wait for all answers.

        Args:
            times: Seconds after the start, rising.
            make_call: Makes the call of a number, from 0.
            progress: Told after each request that ended.
        """
        began = time.monotonic()
        async with curio.TaskGroup() as group:
            for number, at in enumerate(times):
                due = began + at
                await curio.sleep(max(0.0, due - time.monotonic()))
                if self._in_progress >= self._limits.in_progress:
                    self._count(_Try(OutcomeKind.dropped), progress)
                    continue
                self._in_progress += 1
                await group.spawn(self._send, make_call(number), due, progress)
        self.result.seconds = time.monotonic() - began
        return self.result

    async def _send(
        self,
        call: LoadCall,
        due: float,
        progress: Callable[[LoadResult], None] | None,
    ) -> None:
        try:
            ended = await self._try_until_done(call, due)
        finally:
            self._in_progress -= 1
        self._count(ended, progress)

    def _count(
        self, ended: _Try, progress: Callable[[LoadResult], None] | None
    ) -> None:
        result = self.result
        result.sent += 1
        result.outcomes[ended.outcome] += 1
        if ended.outcome is OutcomeKind.refused:
            result.refusals[ended.refusal] += 1
        if progress is not None:
            progress(result)

    async def _try_until_done(self, call: LoadCall, due: float) -> _Try:
        for number in itertools.count(1):
            ended = await self._try(call, due)
            if not ended.may_retry or number >= self._limits.tries:
                return ended
            self.result.retries[ended.refusal or ended.outcome] += 1
            await curio.sleep(ended.retry_after)
        raise AssertionError("count() doesn't end")

    async def _try(self, call: LoadCall, due: float) -> _Try:
        headers = {"authorization": f"Bearer {self._token}"} | call.headers
        again = call.idempotent or "idempotency-key" in call.headers
        try:
            async with self._client.stream(
                next(self._hosts),
                call.method,
                call.path,
                headers,
                call.body,
                self._limits.timeout,
                fresh=not again,
            ) as answer:
                if answer.status != OK:
                    return await self._refused(answer, again)
                await self._read(answer, call, due)
                return _Try(OutcomeKind.answered)
        except AnswerTimeout:
            return _Try(OutcomeKind.timeout, may_retry=again)
        except AnswerCut:
            return _Try(OutcomeKind.cut, may_retry=again)
        except ConnectFailed:
            # Certainly not sent, so another host may be asked whatever the call is.
            return _Try(OutcomeKind.unreachable, may_retry=True)
        except HttpError:
            return _Try(OutcomeKind.cut, may_retry=again)

    async def _refused(self, answer: ClientAnswer, again: bool) -> _Try:
        body = b"".join([piece async for piece in answer.chunks()])
        refusal = _refusal(body)
        if refusal is None:
            return _Try(OutcomeKind.refused, UNKNOWN_REFUSAL)
        useful = 0 < refusal.retry_after <= self._limits.patience
        return _Try(
            OutcomeKind.refused,
            str(refusal.kind),
            may_retry=useful and (again or refusal.ran is Ran.no),
            retry_after=refusal.retry_after,
        )

    async def _read(self, answer: ClientAnswer, call: LoadCall, due: float) -> None:
        result = self.result
        before = 0.0
        async for _piece in answer.chunks():
            now = time.monotonic()
            if not before:
                result.first.add(now - due)
            elif call.stream:
                result.between.add(now - before)
            before = now
        result.total.add(time.monotonic() - due)
        result.regions[answer.headers.get("bronzepoint-region", "")] += 1


def _refusal(body: bytes) -> Refusal | None:
    try:
        return msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.MsgspecError:
        return None
