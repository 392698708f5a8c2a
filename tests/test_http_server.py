"""The server side: bad input, callers that leave or stall, shutting down."""

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

PATIENCE = 30.0
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


class Site:
    """A server whose handler is given, and raw callers to it."""

    def __init__(self, handler=None, limits: HttpLimits = SMALL) -> None:
        self.server = HttpServer(handler or echo, limits, kind_of_error)
        self.socks: list[curio.io.Socket] = []

    async def __aenter__(self) -> "Site":
        await self.server.start("127.0.0.1:0")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for sock in self.socks:
            await sock.close()
        await self.server.close(PATIENCE)

    async def caller(self, data: bytes = b"", window: int = 0) -> curio.io.Socket:
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if window:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.socks.append(sock)
        await sock.connect(parse_address(self.server.address))
        await sock.sendall(data)
        return sock

    async def ask(self, data: bytes) -> bytes:
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
        async with curio.timeout_after(PATIENCE):
            await main()

    curio.run(bounded)


class BadInputTest(unittest.TestCase):
    """Symptom: one caller's bad bytes end the process or hang its connection.

    Each answer names the fault, and the next caller is served as ever.
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
            async with Site() as site:
                answer = await site.ask(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
                self.assertTrue(answer.endswith(kind), answer)
                last = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
                self.assertIn(b"200", await site.ask(last))

        run(main)

    def test_connections_beyond_the_limit_get_503_until_one_closes(self) -> None:
        async def main() -> None:
            async with Site() as site:
                kept = [await site.caller(GET) for _ in range(3)]
                for sock in kept:
                    await read_until(sock, b"\r\n\r\n")
                self.assertIn(b"503", await site.ask(GET))
                await kept[0].close()
                while site.server.connections > 2:
                    await curio.sleep(0.001)
                answer = await read_until(await site.caller(GET), b"\r\n\r\n")
                self.assertIn(b"200", answer)

        run(main)

    def test_a_handler_that_fails_gives_500_and_the_server_lives(self) -> None:
        async def broken(exchange: Exchange) -> None:
            raise ValueError("broken on purpose")

        async def main() -> None:
            async with Site(broken) as site:
                for _ in range(2):
                    answer = await site.ask(GET)
                    self.assertIn(b"500", answer)
                    self.assertNotIn(b"on purpose", answer)

        run(main)

    @params("", "a", ":80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:70000")
    def test_an_address_must_be_host_and_port(self, address) -> None:
        with self.assertRaises(BadAddress):
            parse_address(address)


class KeptConnectionTest(unittest.TestCase):
    def test_pipelined_requests_are_answered_in_order(self) -> None:
        async def main() -> None:
            async with Site() as site:
                last = post(b"3").replace(b"Host", b"Connection: close\r\nHost")
                answer = await site.ask(post(b"1") + post(b"2") + last)
                bodies = [part[:1] for part in answer.split(b"\r\n\r\n")[1:]]
                self.assertEqual(bodies, [b"1", b"2", b"3"])

        run(main)

    def test_an_answer_without_a_body_keeps_the_connection(self) -> None:
        async def handler(exchange: Exchange) -> None:
            await exchange.respond(204, {"X-Name": "\xe9"})

        async def main() -> None:
            async with Site(handler) as site:
                sock = await site.caller(GET)
                for _ in range(2):
                    answer = await read_until(sock, b"\r\n\r\n")
                    self.assertTrue(answer.startswith(b"HTTP/1.1 204"), answer)
                    await sock.sendall(GET)

        run(main)

    def test_head_and_continue(self) -> None:
        async def main() -> None:
            async with Site() as site:
                head = GET.replace(b"GET", b"HEAD")
                sock = await site.caller(head)
                await read_until(sock, b"\r\n\r\n")
                request = post(b"", length=2)
                expect = request.replace(b"Host", b"Expect: 100-continue\r\nHost")
                await sock.sendall(expect)
                self.assertIn(b"100", await read_until(sock, b"\r\n\r\n"))
                await sock.sendall(b"ok")
                self.assertTrue((await read_until(sock, b"ok")).endswith(b"ok"))

        run(main)


class LeavingCallerTest(unittest.TestCase):
    def test_a_caller_that_leaves_is_noticed_before_the_answer(self) -> None:
        """Symptom: a target works on for a caller who is gone.

        The caller closes while the handler only waits: nothing is written, so
        no write can fail. The handler sees it by reading ahead.
        """
        left = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await exchange.wait_disconnect()
            await left.set()
            await exchange.abort()

        async def main() -> None:
            async with Site(handler) as site:
                sock = await site.caller(GET)
                while not site.server.connections:
                    await curio.sleep(0.001)
                await sock.close()
                await left.wait()

        run(main)

    def test_a_request_sent_early_is_served_after_the_watch(self) -> None:
        """Symptom: a pipelined request gets lost in the watch for leaving."""

        begun = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await begun.set()
            watch = await curio.spawn(exchange.wait_disconnect)
            while exchange.request.path == "/a" and not exchange._early:
                await curio.sleep(0.001)
            await watch.cancel()
            await exchange.respond(200, {}, exchange.request.path.encode())

        async def main() -> None:
            async with Site(handler) as site:
                sock = await site.caller(GET)
                await begun.wait()
                await sock.sendall(GET.replace(b"/a", b"/b"))
                answer = await read_until(sock, b"/b")
                self.assertTrue(answer.endswith(b"/b"))

        run(main)

    def test_a_reader_that_stalls_is_cut(self) -> None:
        """Symptom: one reader who stops reading holds a target's slot forever.

        It reads nothing; the socket's buffers fill; send must give up after
        write_timeout instead of waiting on.
        """
        outcome: list[Exception] = []
        cut = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await exchange.start_stream(200, {})
            try:
                while True:
                    await exchange.send(b"x" * 65536)
            except Disconnected as exc:
                outcome.append(exc)
                await cut.set()
                raise

        async def main() -> None:
            async with Site(handler) as site:
                await site.caller(GET, window=4096)
                await cut.wait()
                self.assertIn("read nothing", str(outcome[0]))
                while site.server.connections:
                    await curio.sleep(0.001)

        run(main)

    @params((b"HTTP/1.1",), (b"HTTP/1.0",))
    def test_an_aborted_stream_does_not_look_whole(self, version) -> None:
        """Symptom: a caller takes a part of an answer for all of it.

        The part ends between two chunks. A client that reads lines takes the end of
        the connection for the end of the answer, so it must be an error instead.
        """

        async def handler(exchange: Exchange) -> None:
            await exchange.start_stream(200, {})
            await exchange.send(b"part")
            await exchange.abort()

        async def main() -> None:
            async with Site(handler) as site:
                sock = await site.caller(GET.replace(b"HTTP/1.1", version))
                self.assertIn(b"part", await read_until(sock, b"part"))
                with self.assertRaises(ConnectionResetError):
                    await read_all(sock)

        run(main)

    def test_an_abort_before_the_answer_cuts_the_connection(self) -> None:
        async def handler(exchange: Exchange) -> None:
            await exchange.abort()

        async def main() -> None:
            async with Site(handler) as site:
                with self.assertRaises(ConnectionResetError):
                    await read_all(await site.caller(GET))

        run(main)


class ClosingTest(unittest.TestCase):
    def test_closing_finishes_what_is_in_progress(self) -> None:
        """Symptom: a graceful shutdown cuts answers.

        One caller's stream is half sent, another is connected without having
        been accepted; a third one's connection is idle. The first two get whole
        answers, the third is closed, and nobody new gets in.
        """
        go_on = curio.Event()
        begun = curio.Event()

        async def handler(exchange: Exchange) -> None:
            await exchange.start_stream(200, {})
            await exchange.send(b"half")
            if exchange.request.path == "/a":
                await begun.set()
                await go_on.wait()
            await exchange.end()

        async def main() -> None:
            async with Site(handler) as site:
                address = parse_address(site.server.address)
                idle = await site.caller(GET.replace(b"/a", b"/b"))
                await read_until(idle, b"0\r\n\r\n")
                busy = await site.caller(GET)
                await begun.wait()
                # As if it had come just after the last accept.
                await site.server._accepting.cancel()
                raw = socket.create_connection(address)
                raw.sendall(GET.replace(b"/a", b"/b"))
                closing = await curio.spawn(site.server.close, PATIENCE)
                self.assertEqual(await read_all(idle), b"")
                new = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                with self.assertRaises(ConnectionRefusedError):
                    await new.connect(address)
                await go_on.set()
                self.assertTrue((await read_all(busy)).endswith(b"0\r\n\r\n"))
                await closing.join()
                self.assertTrue(raw.recv(65536).endswith(b"0\r\n\r\n"))
                raw.close()

        run(main)
