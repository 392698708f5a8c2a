"""A stub of a target on the users' platform."""

from collections import Counter

import curio

from bronzepoint_common.http import HttpLimits, HttpServer

LATE_BREAK = 0.75
"""Seconds until a stream breaks that has to break after its deadline."""
CRASHED = 20.0
"""Maximum seconds that a request waits at a crashing target; the crash ends it."""


class StandInTarget:
    """A target that answers by a script and records the requests it receives.

    Attributes:
        script: Names of the actions for the next requests; later ones are served.
        seen: Head of each received request.
        ran: Number of times that each request was started, by its id.
        cut: Number of requests whose caller disconnected.
    """

    def __init__(self, name, ip, port):
        self.name = name
        self.address = f"{ip}:{port}"
        self.script = []
        self.seen = []
        self.ran = Counter()
        self.cut = 0
        self.server = HttpServer(self._answer, HttpLimits())

    async def _answer(self, exchange):
        request = exchange.request
        self.seen.append(request)
        action = self.script.pop(0) if self.script else "serve"
        headers = {
            "X-Bronzepoint-Request-Id": request.headers.get(
                "x-bronzepoint-request-id", ""
            ),
            "X-Bronzepoint-Response-Seal": self.name,
        }
        if request.headers.get("x-bronzepoint-expect-instance") != self.name:
            action = "replaced"
        if action not in ("full", "replaced"):
            self.ran[headers["X-Bronzepoint-Request-Id"]] += 1
        match action:
            case "serve" if request.path.startswith("/stream/"):
                await self._stream(exchange, headers, 5)
            case "break":
                await self._stream(exchange, headers, 2)
                await exchange.abort()
            case "break_late":
                # After the test's deadline, but within the time allowed beyond it.
                await self._stream(exchange, headers, 2)
                await curio.sleep(LATE_BREAK)
                await exchange.abort()
            case "crash":
                await self._stream(exchange, headers, 2)
                # As after a real crash, no process listens when the stream breaks:
                # closing the server ends this exchange.
                await curio.spawn(self.server.close, 0, daemon=True)
                await curio.sleep(CRASHED)
            case "serve":
                await exchange.respond(200, headers, await exchange.body() or b"ok")
            case "full":
                headers["X-Bronzepoint-Not-Executed"] = "1"
                await exchange.respond(503, headers)
            case "fail":
                await exchange.respond(500, headers, b"no")
            case "replaced":
                await exchange.respond(421, {})
            case "reset":
                await exchange.abort()
            case "hang":
                await exchange.wait_disconnect()
                self.cut += 1
                await exchange.abort()
            case "slow" if request.path.startswith("/stream/"):
                await curio.sleep(1.5)
                await self._stream(exchange, headers, 5)
            case "slow":
                await curio.sleep(1.5)
                await exchange.respond(200, headers, b"slow")

    async def _stream(self, exchange, headers, count):
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        await exchange.start_stream(200, headers)
        for number in range(first, count + 1):
            await exchange.send(f"id: {number}\ndata: {number}\n\n".encode())
        if count == 5:
            await exchange.end()
            return
        await exchange.send(b"id: 3\nda")

    def listed(self, state="ready"):
        return {
            "id": self.name,
            "service": "s",
            "address": self.address,
            "zone": "x-a",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
        }
