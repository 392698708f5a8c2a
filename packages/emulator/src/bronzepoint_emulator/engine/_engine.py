"""HTTP server of one stub engine."""

import curio
import msgspec

from bronzepoint_common.http import Disconnected, Exchange, HttpClient, HttpServer
from bronzepoint_emulator._faults import merge_faults
from bronzepoint_emulator._serving import JSON_HEADERS, stub_limits
from bronzepoint_emulator.engine._batch import Batch
from bronzepoint_emulator.engine._cache import PrefixCache
from bronzepoint_emulator.engine._chat import (
    LAST_EVENT,
    ChatRequest,
    complete_answer,
    stream_event,
    token_text,
)
from bronzepoint_emulator.engine._events import EventLog
from bronzepoint_emulator.engine._job import Job, JobState
from bronzepoint_emulator.engine._load import LoadHistory
from bronzepoint_emulator.engine._orders import Orders
from bronzepoint_schema.generated.emulator import (
    CacheImport,
    CancelRequest,
    EngineSpec,
    OrderResult,
    RunCounts,
    TargetFaults,
)
from bronzepoint_schema.generated.platform import Order, OrderRefusal

CLOSE_TIMEOUT = 0.0
"""Seconds that open exchanges get to finish on close."""
REFUSED_RETRY_AFTER = "1"
"""Retry-After header of refusals, in seconds."""
CROSSED_REQUEST_ID = "answer-of-another-request"
"""Request id in the answers of an engine with the fault ``crossed``."""
STREAM_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-cache"}


class Engine:
    """Serves one engine on one port.

    Args:
        spec: Name, address, durations (s) and sizes.
        weight_store: ``host:port`` of the weight store, or empty.
        client: HTTP client for the weight store.
        seed: Seed that selects the lost cache events.
    """

    def __init__(
        self, spec: EngineSpec, weight_store: str, client: HttpClient, seed: int
    ) -> None:
        self.spec = spec
        self.faults = TargetFaults()
        self.counts = RunCounts()
        self._events = EventLog(spec.event_lag, spec.event_loss, seed)
        self._cache = PrefixCache(spec.cache_blocks, self._events.add)
        self._load = LoadHistory(spec.slots, spec.load_lag)
        self._batch = Batch(spec, self._cache, self._load, self.counts)
        self._orders = Orders(spec, weight_store, client, self.counts)
        self._server = HttpServer(
            self._handle, stub_limits(idle_timeout=spec.idle_timeout)
        )

    @property
    def address(self) -> str:
        """``host:port`` that the engine listens on."""
        return self._server.address

    async def start(self) -> None:
        """Start serving."""
        await self._batch.start()
        await self._server.start(self.spec.listen)

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close(CLOSE_TIMEOUT)
        await self._batch.close()

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.request
        match (req.method, req.path):
            case ("POST", "/control"):
                await self._control(exchange)
            case ("GET", "/counts"):
                await _answer(exchange, self.counts)
            case _ if self.faults.down:
                await exchange.abort()
            case ("POST", "/v1/chat/completions"):
                await self._chat(exchange)
            case ("GET", "/load"):
                await _answer(exchange, self._load.report())
            case ("GET", "/cache/events"):
                after = int(req.query.get("after", "0"))
                await _answer(exchange, self._events.after(after))
            case ("GET", "/cache/export"):
                await _answer(exchange, CacheImport(self._cache.blocks()))
            case ("POST", "/cache/import"):
                await self._import_cache(exchange)
            case ("POST", "/orders"):
                await self._order(exchange)
            case ("GET", "/orders"):
                await _answer(exchange, self._orders.state)
            case ("POST", "/cancel"):
                await self._cancel(exchange)
            case _:
                await exchange.respond(404, JSON_HEADERS, b"{}")

    async def _control(self, exchange: Exchange) -> None:
        try:
            self.faults = merge_faults(self.faults, await exchange.body())
        except msgspec.MsgspecError as exc:
            await exchange.respond(400, JSON_HEADERS, str(exc).encode())
            return
        faults = self.faults
        self._batch.slow = faults.slow
        self._batch.slots = faults.slots or self.spec.slots
        self._batch.leaving = faults.leaving
        lag = faults.load_lag
        self._load.lag = self.spec.load_lag if lag < 0 else lag
        if faults.forget_cache:
            self._cache.clear()
            faults.forget_cache = False
        self._batch.record_load()
        await _answer(exchange, faults)

    async def _import_cache(self, exchange: Exchange) -> None:
        imported = msgspec.json.decode(await exchange.body(), type=CacheImport)
        self._cache.store(imported.blocks)
        await exchange.respond(200, JSON_HEADERS, b"{}")

    async def _order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(await exchange.body(), type=Order)
        outcome = await self._orders.submit(order)
        match outcome.result:
            case OrderResult.accepted:
                await _answer(exchange, self._orders.state, 202)
            case OrderResult.repeated:
                await _answer(exchange, self._orders.state)
            case OrderResult.fenced:
                highest = self._orders.state.fencing_number
                await _answer(exchange, OrderRefusal(highest), 409)
            case OrderResult.rate_limited:
                headers = JSON_HEADERS | {"retry-after": outcome.retry_after}
                await exchange.respond(429, headers, b"{}")

    async def _cancel(self, exchange: Exchange) -> None:
        wanted = msgspec.json.decode(await exchange.body(), type=CancelRequest)
        job = self._batch.find(wanted.request_id)
        if job is not None:
            await self._batch.cancel(job)
        await exchange.respond(200 if job else 404, JSON_HEADERS, b"{}")

    async def _chat(self, exchange: Exchange) -> None:
        try:
            chat = msgspec.json.decode(await exchange.body(), type=ChatRequest)
        except msgspec.MsgspecError as exc:
            await exchange.respond(400, JSON_HEADERS, str(exc).encode())
            return
        if self.faults.hang:
            await exchange.wait_disconnect()
            return
        if not self._accepts_requests():
            await self._refuse(exchange)
            return
        headers = exchange.request.headers
        job = chat.job(
            headers.get("x-request-id", ""), int(headers.get("x-priority", "0"))
        )
        watcher = await curio.spawn(
            self._cancel_on_disconnect, exchange, job, daemon=True
        )
        try:
            await self._batch.submit(job)
            await self._answer_chat(exchange, chat, job)
        except Disconnected:
            return
        finally:
            await self._batch.cancel(job)
            await watcher.cancel()

    def _accepts_requests(self) -> bool:
        loading = self._orders.state.loading
        return not self.faults.refuse and not loading and self._batch.has_capacity

    async def _cancel_on_disconnect(self, exchange: Exchange, job: Job) -> None:
        """Cancel a request whose caller disconnects, to free its slot."""
        await exchange.wait_disconnect()
        await self._batch.cancel(job)

    async def _refuse(self, exchange: Exchange) -> None:
        self.counts.refused += 1
        headers = self._headers(JSON_HEADERS, exchange)
        headers["retry-after"] = REFUSED_RETRY_AFTER
        await exchange.respond(503, headers, b'{"error":"overloaded"}')

    def _headers(self, base: dict[str, str], exchange: Exchange) -> dict[str, str]:
        request_id = exchange.request.headers.get("x-request-id", "")
        if self.faults.crossed:
            request_id = CROSSED_REQUEST_ID
        headers = base | {"x-request-id": request_id}
        if self.faults.leaving:
            headers["x-leaving"] = "1"
        return headers

    async def _answer_chat(
        self, exchange: Exchange, chat: ChatRequest, job: Job
    ) -> None:
        if chat.stream:
            await self._stream(exchange, chat, job)
            return
        texts: list[str] = []
        while (number := await job.tokens.get()) is not None:
            texts.append(token_text(chat.echo(), number))
            if len(texts) == self.faults.cut_after:
                await exchange.abort()
                return
        if job.state is not JobState.done:
            await exchange.abort()
            return
        headers = self._headers(JSON_HEADERS, exchange)
        body = complete_answer(job, chat.model, "".join(texts))
        await exchange.respond(200, headers, body)

    async def _stream(self, exchange: Exchange, chat: ChatRequest, job: Job) -> None:
        number = await job.tokens.get()
        headers = self._headers(STREAM_HEADERS, exchange)
        await exchange.start_stream(200, headers)
        while number is not None:
            if number == self.faults.cut_after:
                await exchange.abort()
                return
            text = token_text(chat.echo(), number)
            last = number + 1 == job.max_tokens
            await exchange.send(stream_event(job, chat.model, text, last))
            number = await job.tokens.get()
        if job.state is not JobState.done:
            await exchange.abort()
            return
        await exchange.send(LAST_EVENT)
        await exchange.end()


async def _answer(exchange: Exchange, message: object, status: int = 200) -> None:
    await exchange.respond(status, JSON_HEADERS, msgspec.json.encode(message))
