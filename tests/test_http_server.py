"""HTTP server: invalid input, callers that disconnect or stall, shutdown."""

import socket
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import (
    BadAddress,
    Disconnected,
    Exchange,
    HttpError,
    HttpLimits,
    HttpServer,
    parse_address,
)

MAX_WAIT = 30.0
"""Seconds after which a test counts as hung."""
SMALL = HttpLimits(
    max_head=2048,
    max_body=1024,
    max_connections=3,
    head_timeout=0.2,
    idle_timeout=20.0,
    write_timeout=0.3,
)
GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


def post(body: bytes, length: int | None = None) -> bytes:
    length = len(body) if length is None else length
    return b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (
        length,
        body,
    )


class ServerFixture:
    """A server with a given handler, and raw connections to it."""

    def __init__(self, handler=None, limits: HttpLimits = SMALL) -> None:
        self.server = HttpServer(handler or echo, limits, kind_of_error)
        self.socks: list[curio.io.Socket] = []

    async def __aenter__(self) -> "ServerFixture":
        await self.server.start("127.0.0.1:0")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for sock in self.socks:
            await sock.close()
        await self.server.close(MAX_WAIT)

    async def caller(self, data: bytes = b"", window: int = 0) -> curio.io.Socket:
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socks.append(sock)
        await sock.connect(parse_address(self.server.address))
        await sock.sendall(data)
        return sock

    async def exchange(self, data: bytes) -> bytes:
        return await read_all(await self.caller(data))


async def echo(exchange: Exchange) -> None:
    body = await exchange.body()
    await exchange.respond(200, {"X-Method": exchange.request.method}, body)


def kind_of_error(exc: HttpError) -> tuple[int, dict[str, str], bytes]:
    return exc.status, {}, type(exc).__name__.encode()


async def read_all(sock: curio.io.Socket) -> bytes:
    parts = []
    while True:
        data = await sock.recv(65536)
        if not data:
            return b"".join(parts)
        parts.append(data)


async def read_until(sock: curio.io.Socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        piece = await sock.recv(65536)
        if not piece:
            break
        data += piece
    return data


def run(main) -> None:
    async def bounded() -> None:
        async with curio.timeout_after(MAX_WAIT):
            await main()

    curio.run(bounded)


class TurnsTest(unittest.TestCase):
    def test_many_requests_sent_at_once_keep_no_other_caller_waiting(self) -> None:
        """Guards against a caller that sends requests without reading answers, and so
        keeps all other callers from being served."""
        paths = []

        async def main() -> None:
            async def handler(exchange: Exchange) -> None:
                paths.append(exchange.request.path)
                if len(paths) == 1:
                    other._socket.send(GET.replace(b"/a", b"/other"))
                await exchange.respond(200, {})

            async with ServerFixture(handler) as fixture:
                other = await fixture.caller()
                many = await fixture.caller(GET * 200)
                await read_until(other, b"\r\n\r\n")
                served_before.append(paths.index("/other"))
                await read_until(many, b"\r\n\r\n")

        served_before: list[int] = []
        run(main)
        self.assertLess(served_before[0], 20)


class BadInputTest(unittest.TestCase):
    """Guards against invalid input that ends the process or hangs a connection.

    Each answer names the error, and the next caller is served.
    """

    @params(
        (b"nonsense\r\n\r\n", b"400", b"BadRequest"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400", b"BadRequest"),
        (b"GET http:// HTTP/1.1\r\nHost: x\r\n\r\n", b"400", b"BadRequest"),
        (b"GET /%ff HTTP/1.1\r\nHost: x\r\n\r\n", b"400", b"BadRequest"),
        (b"GET /" + b"a" * 4000, b"431", b"HeadTooLarge"),
        (
            b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 4000 + b"\r\n\r\n",
            b"431",
            b"HeadTooLarge",
        ),
        (post(b"a" * 2000), b"413", b"BodyTooLarge"),
        (post(b"", length=10**9), b"413", b"BodyTooLarge"),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"200\r\n" + b"b" * 512 + b"\r\n"
            + b"300\r\n" + b"b" * 768 + b"\r\n",
            b"413",
            b"BodyTooLarge",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"400",
            b"BadRequest",
        ),
        (b"GET /slow HTTP/1.1\r\nHost", b"408", b"RequestTimeout"),
    )  # fmt: skip
    def test_bad_input_gets_its_error_and_the_next_caller_an_answer(
        self, data, status, kind
    ) -> None:
        async def main() -> None:
            async with ServerFixture() as fixture:
                answer = await fixture.exchange(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
                self.assertTrue(answer.endswith(kind), answer)
                last = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
                self.assertIn(b"200", await fixture.exchange(last))

        run(main)

    def test_connections_beyond_the_limit_get_503_until_one_closes(self) -> None:
        async def main() -> None:
            async with ServerFixture() as fixture:
                kept = [await fixture.caller(GET) for _ in range(3)]
                for sock in kept:
                    await read_until(sock, b"\r\n\r\n")
                self.assertIn(b"503", await fixture.exchange(GET))
                await kept[0].close()
                while fixture.server.connections > 2:
                    await curio.sleep(0.001)
                answer = await read_until(await fixture.caller(GET), b"\r\n\r\n")
                self.assertIn(b"200", answer)

        run(main)

    def test_a_handler_that_fails_gives_500_and_the_server_continues(self) -> None:
        async def broken(exchange: Exchange) -> None:
            raise ValueError("broken on purpose")

        async def main() -> None:
            async with ServerFixture(broken) as fixture:
                for _ in range(2):
                    answer = await fixture.exchange(GET)
                    self.assertIn(b"500", answer)
                    self.assertNotIn(b"on purpose", answer)

        run(main)

    @params("", "a", ":80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000")
    def test_an_address_must_be_host_and_port(self, address) -> None:
        with self.assertRaises(BadAddress):
            parse_address(address)


class KeepAliveTest(unittest.TestCase):
    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def main() -> None:
            async with ServerFixture() as fixture:
                last = post(b"3").replace(b"Host", b"Connection: close\r\nHost")
                answer = await fixture.exchange(post(b"1") + post(b"2") + last)
                bodies = [part[:1] for part in answer.split(b"\r\n\r\n")[1:]]
                self.assertEqual(bodies, [b"1", b"2", b"3"])

        run(main)

    def test_an_answer_without_a_body_keeps_the_connection(self) -> None:
        async def handler(exchange: Exchange) -> None:
            await exchange.respond(204, {"X-Name": "\xe9"})

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                sock = await fixture.caller(GET)
                for _ in range(2):
                    answer = await read_until(sock, b"\r\n\r\n")
                    self.assertTrue(answer.startswith(b"HTTP/1.1 204"), answer)
                    await sock.sendall(GET)

        run(main)

    def test_head_and_continue(self) -> None:
        async def main() -> None:
            async with ServerFixture() as fixture:
                head = GET.replace(b"GET", b"HEAD")
                sock = await fixture.caller(head)
                await read_until(sock, b"\r\n\r\n")
                request = post(b"", length=2)
                expect = request.replace(b"Host", b"Expect: 100-continue\r\nHost")
                await sock.sendall(expect)
                self.assertIn(b"100", await read_until(sock, b"\r\n\r\n"))
                await sock.sendall(b"ok")
                self.assertTrue((await read_until(sock, b"ok")).endswith(b"ok"))

        run(main)


class DisconnectTest(unittest.TestCase):
    def test_a_disconnect_is_detected_before_the_answer(self) -> None:
        """Guards against a target that continues after its caller has disconnected.

        The caller closes the connection while the handler only waits: nothing is
        written, so no write can fail. The disconnect is detected by reading ahead.
        """
        disconnected = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await exchange.wait_disconnect()
            await disconnected.set()
            await exchange.abort()

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                sock = await fixture.caller(GET)
                while not fixture.server.connections:
                    await curio.sleep(0.001)
                await sock.close()
                await disconnected.wait()

        run(main)

    def test_a_pipelined_request_is_served_after_wait_disconnect(self) -> None:
        """Guards against a pipelined request that is lost in `wait_disconnect`."""

        begun = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await begun.set()
            watch = await curio.spawn(exchange.wait_disconnect)
            while exchange.request.path == "/a" and not exchange._early_bytes:
                await curio.sleep(0.001)
            await watch.cancel()
            await exchange.respond(200, {}, exchange.request.path.encode())

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                sock = await fixture.caller(GET)
                await begun.wait()
                await sock.sendall(GET.replace(b"/a", b"/b"))
                answer = await read_until(sock, b"/b")
                self.assertTrue(answer.endswith(b"/b"))

        run(main)

    def test_a_reader_that_stalls_is_disconnected(self) -> None:
        """Guards against a caller that stops reading and occupies a slot forever.

        The caller reads nothing and the socket buffers fill up; `send` must raise an
        error after write_timeout.
        """
        outcome: list[Exception] = []
        disconnected = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await exchange.start_stream(200, {})
            try:
                while True:
                    await exchange.send(b"x" * 65536)
            except Disconnected as exc:
                outcome.append(exc)
                await disconnected.set()
                raise

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                await fixture.caller(GET, window=4096)
                await disconnected.wait()
                self.assertIn("read nothing", str(outcome[0]))
                while fixture.server.connections:
                    await curio.sleep(0.001)

        run(main)

    @params((b"HTTP/1.1",), (b"HTTP/1.0",))
    def test_an_aborted_stream_does_not_look_complete(self, version) -> None:
        """Guards against a caller that mistakes a truncated answer for a complete one.

        The answer is aborted between two chunks. A client that reads lines treats the
        end of the connection as the end of the answer, so it must get an error.
        """

        async def handler(exchange: Exchange) -> None:
            await exchange.start_stream(200, {})
            await exchange.send(b"part")
            await exchange.abort()

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                sock = await fixture.caller(GET.replace(b"HTTP/1.1", version))
                self.assertIn(b"part", await read_until(sock, b"part"))
                with self.assertRaises(ConnectionResetError):
                    await read_all(sock)

        run(main)

    def test_an_abort_before_the_answer_resets_the_connection(self) -> None:
        async def handler(exchange: Exchange) -> None:
            await exchange.abort()

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                with self.assertRaises(ConnectionResetError):
                    await read_all(await fixture.caller(GET))

        run(main)


class ClosingTest(unittest.TestCase):
    def test_closing_finishes_requests_in_progress(self) -> None:
        """Guards against a graceful shutdown that truncates answers.

        The stream of one caller is half sent, the connection of another isn't accepted
        yet, and that of a third is idle. The first two get complete answers, the third
        connection is closed, and new connections are refused.
        """
        resume = curio.Event()
        begun = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await exchange.start_stream(200, {})
            await exchange.send(b"half")
            if exchange.request.path == "/a":
                await begun.set()
                await resume.wait()
            await exchange.end()

        async def main() -> None:
            async with ServerFixture(handler) as fixture:
                address = parse_address(fixture.server.address)
                idle = await fixture.caller(GET.replace(b"/a", b"/b"))
                await read_until(idle, b"0\r\n\r\n")
                busy = await fixture.caller(GET)
                await begun.wait()
                # Simulates a connection that arrives just after the last accept.
                await fixture.server._accepting.cancel()
                raw = socket.create_connection(address)
                raw.sendall(GET.replace(b"/a", b"/b"))
                closing = await curio.spawn(fixture.server.close, MAX_WAIT)
                self.assertEqual(await read_all(idle), b"")
                new = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                with self.assertRaises(ConnectionRefusedError):
                    await new.connect(address)
                await resume.set()
                self.assertTrue((await read_all(busy)).endswith(b"0\r\n\r\n"))
                await closing.join()
                self.assertTrue(raw.recv(65536).endswith(b"0\r\n\r\n"))
                raw.close()

        run(main)
