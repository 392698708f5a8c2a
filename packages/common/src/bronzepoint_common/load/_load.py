"""Open-loop load: requests are sent when due, without waiting for earlier answers."""

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
        in_progress: Maximum concurrent requests; further ones are dropped and counted.
        timeout: Seconds to wait for the next piece of an answer.
        tries: Maximum number of times that a request is sent.
        patience: Longest ``Retry-After``, in seconds, to wait for before a retry.
    """

    in_progress: int = 500
    timeout: float = 30.0
    tries: int = 3
    patience: float = 5.0


class _Try(Struct):
    """Outcome of one try, and whether and when to try again."""

    outcome: OutcomeKind
    refusal: str = ""
    may_retry: bool = False
    retry_after: float = 0.0


class Load:
    """Sends calls to hosts, round robin, and measures their answers.

    Args:
        client: Client to send the calls with.
        hosts: Addresses, used round robin; a retry goes to the next one.
        token: Bearer token of the caller.
        limits: Bounds of the load.
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
            times: Seconds after the start, in ascending order.
            make_call: Returns the call with a given number, counted from 0.
            progress: Called after each request has ended.
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
            last_try = await self._try_until_done(call, due)
        finally:
            self._in_progress -= 1
        self._count(last_try, progress)

    def _count(
        self, last_try: _Try, progress: Callable[[LoadResult], None] | None
    ) -> None:
        result = self.result
        result.sent += 1
        result.outcomes[last_try.outcome] += 1
        if last_try.outcome is OutcomeKind.refused:
            result.refusals[last_try.refusal] += 1
        if progress is not None:
            progress(result)

    async def _try_until_done(self, call: LoadCall, due: float) -> _Try:
        for number in itertools.count(1):
            last_try = await self._try(call, due)
            if not last_try.may_retry or number >= self._limits.tries:
                return last_try
            self.result.retries[last_try.refusal or last_try.outcome] += 1
            await curio.sleep(last_try.retry_after)
        raise AssertionError("count() doesn't end")

    async def _try(self, call: LoadCall, due: float) -> _Try:
        headers = {"authorization": f"Bearer {self._token}"} | call.headers
        repeatable = call.idempotent or "idempotency-key" in call.headers
        try:
            async with self._client.stream(
                next(self._hosts),
                call.method,
                call.path,
                headers,
                call.body,
                self._limits.timeout,
                fresh=not repeatable,
            ) as answer:
                if answer.status != OK:
                    return await self._refused(answer, repeatable)
                await self._read(answer, call, due)
                return _Try(OutcomeKind.answered)
        except AnswerTimeout:
            return _Try(OutcomeKind.timeout, may_retry=repeatable)
        except AnswerCut:
            return _Try(OutcomeKind.cut, may_retry=repeatable)
        except ConnectFailed:
            # Certainly not sent, so even a non-idempotent call can be tried elsewhere.
            return _Try(OutcomeKind.unreachable, may_retry=True)
        except HttpError:
            return _Try(OutcomeKind.cut, may_retry=repeatable)

    async def _refused(self, answer: ClientAnswer, repeatable: bool) -> _Try:
        body = b"".join([piece async for piece in answer.chunks()])
        refusal = _refusal(body)
        if refusal is None:
            return _Try(OutcomeKind.refused, UNKNOWN_REFUSAL)
        useful = 0 < refusal.retry_after <= self._limits.patience
        return _Try(
            OutcomeKind.refused,
            str(refusal.kind),
            may_retry=useful and (repeatable or refusal.ran is Ran.no),
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
