"""HTTP client: reused connections; late, truncated and invalid answers."""

import socket
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
    ConnectFailed,
    HttpClient,
    HttpError,
    HttpLimits,
    NotSent,
    format_address,
)
from tests.test_http_server import read_until, run

LIMITS = HttpLimits(max_body=4096)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def has_ended(sock: curio.io.Socket) -> bool:
    """Wait for data or the end; return whether the client closed its connection."""
    try:
        return not await sock.recv(100)
    except ConnectionResetError:
        return True


class ScriptedServer:
    """A server that sends given bytes: one list of answers for each connection.

    It closes a connection after its last answer, or keeps it open and idle if
    ``keep_open`` is set. ``late`` is sent when ``send_late`` is set.
    """

    def __init__(self, *connections: list[bytes], keep_open: bool = False) -> None:
        self.connections = list(connections)
        self.keep_open = keep_open
        self.accepted = 0
        self.received = 0
        self.disconnected = curio.Event()
        self.late = b""
        self.send_late = curio.Event()

    async def __aenter__(self) -> "ScriptedServer":
        self.listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.address = format_address(*self.listener.getsockname())
        self.task = await curio.spawn(self.accept)
        self.client = HttpClient(LIMITS, 2.0)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.client.close()
        await self.task.cancel()
        await self.listener.close()

    async def accept(self) -> None:
        async with curio.TaskGroup() as group:
            while True:
                sock, _ = await self.listener.accept()
                answers = self.connections[self.accepted]
                self.accepted += 1
                await group.spawn(self.play, sock, answers)

    async def play(self, sock: curio.io.Socket, answers: list[bytes]) -> None:
        async with sock:
            for answer in answers:
                if not await read_until(sock, b"\r\n\r\n"):
                    break
                self.received += 1
                await sock.sendall(answer)
            if self.late:
                await self.send_late.wait()
                await sock.sendall(self.late)
            if self.keep_open and await has_ended(sock):
                await self.disconnected.set()

    async def fetch(self, fresh: bool = False, timeout: float = 20.0) -> bytes:
        answer = await self.client.fetch(
            self.address, "GET", "/", {}, b"", timeout, fresh
        )
        return answer.body

    async def wait_readable(self) -> None:
        """Wait until data or the end has arrived on the idle connection."""
        sock = self.client._pool._idle[self.address][0].wire._sock._socket
        while True:
            try:
                sock.recv(1, socket.MSG_PEEK)
                return
            except BlockingIOError:
                await curio.sleep(0.001)


class ClientTest(unittest.TestCase):
    @params(
        ("truncated head", b"HTTP/1.1 200 OK\r\nConte", AnswerCut),
        ("truncated body", WHOLE[:-1], AnswerCut),
        ("truncated chunk", CHUNKED + b"5\r\nwho", AnswerCut),
        ("no last chunk", CHUNKED + b"5\r\nwhole\r\n", AnswerCut),
        ("nothing", b"", AnswerCut),
        ("no HTTP", b"SSH-2.0-x\r\n\r\n", AnswerMalformed),
        ("interim answers", b"HTTP/1.1 103 Hints\r\n\r\n" * 100, AnswerMalformed),
        ("bad chunk", CHUNKED + b"zz\r\n", AnswerMalformed),
        ("no length", b"HTTP/1.1 200 OK\r\n\r\nwhole", AnswerMalformed),
        ("too large", CHUNKED + b"1400\r\n" + b"x" * 0x1400, AnswerMalformed),
    )
    def test_an_incomplete_answer_is_an_error(self, _, answer, kind) -> None:
        """Guards against a truncated answer that is relayed as a complete one."""

        async def main() -> None:
            async with ScriptedServer([answer]) as script:
                with self.assertRaises(kind) as raised:
                    await script.fetch()
                self.assertIn(script.address, str(raised.exception))

        run(main)

    def test_an_unresponsive_server_times_out(self) -> None:
        async def main() -> None:
            async with ScriptedServer([b""], keep_open=True) as script:
                with self.assertRaises(AnswerTimeout):
                    await script.fetch(timeout=0.05)
                await script.disconnected.wait()

        run(main)

    def test_a_stream_that_stalls_times_out(self) -> None:
        """Guards against an answer that hangs and occupies a slot of its target.

        The server sends a part and then nothing, on an open connection. The timeout
        applies to each further piece, not to the whole answer.
        """

        async def main() -> None:
            part = CHUNKED + b"4\r\npart\r\n"
            async with ScriptedServer([part], keep_open=True) as script:
                async with script.client.stream(
                    script.address, "GET", "/", {}, b"", 20.0
                ) as answer:
                    self.assertEqual(await answer.read(), b"part")
                    answer.timeout = 0.01
                    with self.assertRaises(AnswerTimeout):
                        await answer.read()
                await script.disconnected.wait()

        run(main)

    @params(
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, 200),
        (b"HTTP/1.1 200 OK\r\nX-Name: \xe9\r\nContent-Length: 0\r\n\r\n", 200),
    )
    def test_unusual_but_complete_answers(self, answer, status) -> None:
        async def main() -> None:
            async with ScriptedServer([answer, WHOLE], keep_open=True) as script:
                got = await script.client.fetch(
                    script.address, "GET", "/", {"X-Name": "\xe9"}, b"", 20.0
                )
                self.assertEqual(got.status, status)
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 1)

        run(main)

    def test_refused_connection_raises_connect_failed(self) -> None:
        async def main() -> None:
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                address = format_address(*sock.getsockname())
                client = HttpClient(LIMITS, 2.0)
                with self.assertRaises(ConnectFailed):
                    await client.fetch(address, "GET", "/", {}, b"", 2.0)

        run(main)

    def test_a_prepared_connection_is_kept_for_the_next_request(self) -> None:
        """Guards against a further connection at each search of a replacement."""

        async def main() -> None:
            async with ScriptedServer([WHOLE], [WHOLE], keep_open=True) as script:
                for _ in range(2):
                    await script.client.connect(script.address, 60.0)
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 1)
                await script.client.connect(script.address, 0.0)
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 2)

        run(main)

    def test_the_connection_of_a_complete_exchange_is_reused(self) -> None:
        async def main() -> None:
            async with ScriptedServer(
                [WHOLE, WHOLE], [WHOLE], keep_open=True
            ) as script:
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 1)
                self.assertEqual(await script.fetch(fresh=True), b"whole")
                self.assertEqual(script.accepted, 2)

        run(main)

    @params(("late answer", WHOLE + WHOLE), ("late bytes", WHOLE + b"x"))
    def test_data_after_an_answer_closes_the_connection(self, _, first) -> None:
        """Guards against a caller that gets the answer to another caller's request.

        A target answers twice; the second answer stays in the buffer of the reused
        connection and would be read as the answer to the next request.
        """

        async def main() -> None:
            other = WHOLE.replace(b"whole", b"other")
            async with ScriptedServer([first], [other], keep_open=True) as script:
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(await script.fetch(), b"other")

        run(main)

    def test_data_on_an_idle_connection_closes_it(self) -> None:
        """As above, but the second answer arrives after the first was read."""

        async def main() -> None:
            other = WHOLE.replace(b"whole", b"other")
            async with ScriptedServer([WHOLE], [other], keep_open=True) as script:
                script.late = WHOLE
                self.assertEqual(await script.fetch(), b"whole")
                await script.send_late.set()
                await script.wait_readable()
                self.assertEqual(await script.fetch(), b"other")

        run(main)

    def test_a_closed_idle_connection_is_not_reused(self) -> None:
        """Guards against a first request after a pause that fails.

        The server has closed the idle connection, and the FIN has arrived.
        """

        async def main() -> None:
            async with ScriptedServer([WHOLE], [WHOLE]) as script:
                await script.fetch()
                await script.wait_readable()
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 2)

        run(main)

    def test_a_close_during_the_request_is_not_certain(self) -> None:
        """Guards against a request that is reported as not run although it ran.

        The server reads the second request on the reused connection and closes it
        without an answer. It may have run the request, so this is never certain.
        """

        async def main() -> None:
            async with ScriptedServer([WHOLE, b""]) as script:
                await script.fetch()
                with self.assertRaises(NotSent) as raised:
                    await script.fetch()
                self.assertFalse(raised.exception.certain)

        run(main)

    def test_leaving_an_answer_early_closes_its_connection(self) -> None:
        """Guards against a target that continues after its caller has disconnected."""

        async def main() -> None:
            part = CHUNKED + b"4\r\npart\r\n"
            async with ScriptedServer([part], [WHOLE], keep_open=True) as script:
                async with script.client.stream(
                    script.address, "GET", "/", {}, b"", 20.0
                ) as answer:
                    self.assertEqual(await answer.read(), b"part")
                await script.disconnected.wait()
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 2)

        run(main)

    def test_nothing_is_sent_if_before_send_raises(self) -> None:
        """Guards against a request that is sent on the basis of an outdated check.

        Connecting takes time, and the process may be suspended meanwhile. The check
        runs on the established connection; the server must not receive a byte.
        """

        def check() -> None:
            raise PermissionError("too late")

        async def main() -> None:
            async with ScriptedServer([b"", WHOLE], [WHOLE]) as script:
                with self.assertRaises(PermissionError):
                    await script.client.fetch(
                        script.address, "GET", "/", {}, b"", 9.0, before_send=check
                    )
                self.assertEqual(await script.fetch(), b"whole")
                self.assertEqual(script.accepted, 2)
                self.assertEqual(script.received, 1)

        run(main)

    def test_errors_share_a_base(self) -> None:
        for kind in (ConnectFailed, NotSent, AnswerCut, AnswerTimeout):
            self.assertTrue(issubclass(kind, HttpError))


class TestCancelled(unittest.TestCase):
    def test_cancelled_request_does_not_arrive_later(self):
        """Guards against a cancelled request that still arrives from socket buffers."""

        async def main():
            listener = curio.network.tcp_server_socket("127.0.0.1", 0)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            address = format_address(*listener.getsockname())
            client = HttpClient(LIMITS, 2.0)
            body = b"x" * (1 << 20)
            fetch = client.fetch(address, "POST", "/", {}, body, 60.0)
            task = await curio.spawn(fetch)
            sock, _ = await listener.accept()
            await sock.recv(1)
            await task.cancel()
            size = 1
            try:
                while data := await sock.recv(65536):
                    size += len(data)
            except ConnectionResetError:
                pass
            await sock.close()
            await listener.close()
            await client.close()
            return size

        self.assertLess(curio.run(main), 1 << 20)
