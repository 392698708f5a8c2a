"""HTTP client and targets: full targets; early, late and unframed answers."""

import socket
import struct
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import (
    AnswerCut,
    AnswerMalformed,
    ConnectFailed,
    HttpClient,
    HttpLimits,
    NotSent,
    Unframed,
    format_address,
)
from bronzepoint_common.http._wire import Wire
from tests.test_http_client import WHOLE, ScriptedServer
from tests.test_http_server import read_until, run

LIMITS = HttpLimits(max_body=1 << 20)
RESET = struct.pack("ii", 1, 0)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


def answer(name):
    head = f"HTTP/1.1 200 OK\r\nx-id: {name}\r\nContent-Length: {len(name)}\r\n\r\n"
    return head.encode() + name.encode()


class RawServer:
    """Accepts connections and passes each to ``play``."""

    def __init__(self, play):
        self._play = play

    async def __aenter__(self):
        self._listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.address = format_address(*self._listener.getsockname())
        self._task = await curio.spawn(self._accept, daemon=True)
        return self

    async def __aexit__(self, *exc_info):
        await self._task.cancel()
        await self._listener.close()

    async def _accept(self):
        while True:
            sock, _ = await self._listener.accept()
            await curio.spawn(self._serve, sock, daemon=True)

    async def _serve(self, sock):
        async with sock:
            await self._play(sock)


async def collect(exchange):
    async with exchange as found:
        return b"".join([piece async for piece in found.chunks()])


class TestUnframedAnswers(unittest.TestCase):
    @params((False, b"a part"), (True, AnswerCut))
    def test_a_reset_does_not_look_like_the_end(self, reset, expected):
        """Guards against a truncated answer that is relayed as a complete one.

        A target answers without a length, and its connection is reset before the end
        of the answer; the reset was treated like an ordinary end.
        """

        async def play(sock):
            await read_until(sock, b"\r\n\r\n")
            await sock.sendall(UNFRAMED + b"a part")
            await curio.sleep(0.1)
            if reset:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

        async def main():
            async with RawServer(play) as server:
                client = HttpClient(LIMITS, 2.0)
                exchange = client.stream(
                    server.address, "GET", "/", {}, b"", 5.0, unframed=Unframed.ACCEPTED
                )
                try:
                    if expected is AnswerCut:
                        with self.assertRaises(AnswerCut):
                            await collect(exchange)
                    else:
                        self.assertEqual(await collect(exchange), expected)
                finally:
                    await client.close()

        run(main)


EVENTS = b"data: 1\n\ndata: 2\n\n"
EVENTS_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
UPLOAD = bytes(4 << 20)
REPEATS = 20
"""Number of answers, as the order of a failed write and a read varies."""


class TestResetDuringUpload(unittest.TestCase):
    """Guards against a truncated answer that is relayed as a complete one.

    A target answers a long request at once, without a length, and resets the connection
    while the request is still being sent. The write that fails takes the error, and the
    next read returns what looks like an ordinary end.
    """

    @params(
        (UNFRAMED, b"a part"),
        (UNFRAMED, b"a part" * 70_000),
        (CONTINUE + UNFRAMED, b"a part" * 70_000),
        (EVENTS_HEAD, EVENTS),
        (EVENTS_HEAD, EVENTS * 20_000),
    )
    def test_a_part_is_not_taken_for_the_whole(self, head, part):
        async def play(sock):
            await read_until(sock, b"\r\n\r\n")
            await sock.sendall(head)
            await curio.sleep(0.05)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            # Part and reset reach the client between two looks at its sockets.
            sock._socket.send(part)
            sock._socket.close()

        self.assertEqual(curio.run(self.count_whole, play), 0)

    def test_an_ordinary_end_before_the_reset_is_the_end(self):
        """Guards against a whole answer that is taken for a part, as its target closes
        the connection before it has read the request."""

        async def play(sock):
            await read_until(sock, b"\r\n\r\n")
            await sock.sendall(UNFRAMED + b"whole")
            sock._socket.shutdown(socket.SHUT_WR)
            await curio.sleep(0.1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

        self.assertEqual(curio.run(self.count_whole, play), REPEATS)

    async def count_whole(self, play):
        """Return how many answers are taken for whole ones."""
        whole = 0
        async with RawServer(play) as server:
            client = HttpClient(LIMITS, 2.0)
            for _ in range(REPEATS):
                exchange = client.stream(
                    server.address,
                    "POST",
                    "/",
                    {},
                    UPLOAD,
                    5.0,
                    unframed=Unframed.ACCEPTED,
                )
                try:
                    await collect(exchange)
                    whole += 1
                except (AnswerCut, NotSent):
                    continue
            await client.close()
        return whole

    @params("send_now", "send", "poll", "has_ended")
    def test_a_reset_is_remembered_whatever_met_it_first(self, operation):
        async def main():
            listener = curio.network.tcp_server_socket("127.0.0.1", 0)
            sock = curio.io.Socket(socket.socket())
            await sock.connect(listener.getsockname())
            peer, _ = await listener.accept()
            wire = Wire(sock)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await peer.close()
            while not self.meet_reset(wire, operation):
                await curio.sleep(0.001)
            with self.assertRaises(ConnectionResetError):
                await wire.receive(5.0)
            with self.assertRaises(ConnectionResetError):
                await wire.receive_next()
            await wire.close()
            await listener.close()

        run(main)

    def meet_reset(self, wire, operation):
        """Return whether an operation has met the reset."""
        match operation:
            case "send_now":
                return not wire.send_now(b"x")
            case "send":
                task = wire.send(b"x", 5.0)
                try:
                    task.send(None)
                except StopIteration:
                    return False
                except OSError:
                    return True
                task.close()
                return True
            case "poll":
                return wire.poll() == b""
            case "has_ended":
                return wire.has_ended()


def head_with(*lines, status=b"HTTP/1.1 200 OK"):
    """Return an answer of five bytes with these lines in its head."""
    listed = (status, *lines, b"Content-Length: 5", b"", b"whole")
    return b"\r\n".join(listed)


def chunked_with(size, trailer=b""):
    """Return a chunked answer with this size of its chunk."""
    lines = (b"Transfer-Encoding: chunked", b"", size, b"whole", b"0", trailer, b"")
    return b"\r\n".join((b"HTTP/1.1 200 OK", *lines))


INVALID_ANSWERS = (
    *(
        head_with(status=b"HTTP/1.1 %s X" % status)
        for status in (b"000", b"099", b"0200", b"20", b"2x0", b"+20", b"600", b"999")
    ),
    head_with(status=b"HTTP/2.0 200 OK"),
    head_with(status=b"noise\r\nHTTP/1.1 200 OK"),
    head_with(status=b"\0HTTP/1.1 200 OK"),
    *(
        head_with(b"X-%sName: v" % mark)
        for mark in (b" ", b"\t", b"\0", b"\1", b"\x7f")
    ),
    head_with(b"X-Name : v"),
    head_with(b": v"),
    head_with(b"X-Name"),
    *(head_with(b"X-Name: a%sb" % mark) for mark in (b"\r", b"\0", b"\1", b"\x7f")),
    head_with(b"Content-Length: 4"),
    head_with(b"Content-Length : 4"),
    head_with(b"Transfer-Encoding : chunked"),
    head_with(b"Transfer-Encoding: chunked"),
    head_with(b"Transfer-Encoding: gzip"),
    *(chunked_with(size) for size in (b"-5", b"+5", b"0x5", b"5 5", b"", b"g")),
    chunked_with(b"5", b"X Name: v\r\n"),
)


class TestInvalidAnswers(unittest.TestCase):
    @params(*INVALID_ANSWERS)
    def test_an_invalid_answer_is_not_passed_on(self, answer):
        """Guards against what a target in trouble sends being told as its answer."""

        async def play(sock):
            await read_until(sock, b"\r\n\r\n")
            await sock.sendall(answer)
            await curio.sleep(0.05)

        async def main():
            async with RawServer(play) as server:
                client = HttpClient(LIMITS, 2.0)
                for unframed in (Unframed.ACCEPTED, Unframed.REFUSED):
                    for framing in (b"", b"body"):
                        exchange = client.stream(
                            server.address,
                            "POST",
                            "/",
                            {},
                            framing,
                            5.0,
                            unframed=unframed,
                        )
                        with self.assertRaises((AnswerMalformed, AnswerCut)):
                            await collect(exchange)
                await client.close()

        run(main)


class TestAcceptedFraming(unittest.TestCase):
    @params(
        (Unframed.REFUSED, b"text/event-stream", AnswerMalformed),
        (Unframed.EVENT_STREAMS, b"text/event-stream", b"whole"),
        (Unframed.EVENT_STREAMS, b"application/json", AnswerMalformed),
        (Unframed.ACCEPTED, b"application/json", b"whole"),
    )
    def test_a_whole_answer_without_a_length_is_read_where_accepted(
        self, unframed, kind, expected
    ):
        async def play(sock):
            await read_until(sock, b"\r\n\r\n")
            head = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n" % kind
            await sock.sendall(head + b"whole")

        async def main():
            async with RawServer(play) as server:
                client = HttpClient(LIMITS, 2.0)
                try:
                    answer = await client.fetch(
                        server.address, "GET", "/", {}, b"", 5.0, unframed=unframed
                    )
                    return answer.body
                except AnswerMalformed as exc:
                    return type(exc)
                finally:
                    await client.close()

        self.assertEqual(curio.run(main), expected)


class TestFullTargets(unittest.TestCase):
    @params(True, False)
    def test_a_reset_before_the_request_proves_that_it_did_not_run(self, full):
        """Guards against 502 for non-idempotent requests that reached no target.

        A full target accepts a connection and resets it at once. If the request is
        written before the reset is noticed, the reset doesn't prove that the request
        did not run.
        """

        async def play(sock):
            if full:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return
            await read_until(sock, b"\r\n\r\n")
            await sock.sendall(WHOLE)

        async def main():
            async with RawServer(play) as server:
                client = HttpClient(LIMITS, 2.0, settle=0.2)
                if full:
                    with self.assertRaises(ConnectFailed):
                        await client.fetch(server.address, "GET", "/", {}, b"", 2.0)
                else:
                    found = await client.fetch(server.address, "GET", "/", {}, b"", 2.0)
                    self.assertEqual(found.body, b"whole")
                await client.close()

        run(main)


class TestEarlyAnswers(unittest.TestCase):
    def test_an_answer_before_the_body_is_read_is_accepted(self):
        """Guards against a rejected request that waits until its deadline.

        A target answers before it has read a long request and then stops reading; the
        answer was read only after the whole body was written.
        """
        body = b"x" * (8 << 20)

        async def play(sock):
            await read_until(sock, b"\r\n\r\n")
            await sock.sendall(WHOLE)
            await curio.sleep(10)

        async def main():
            async with RawServer(play) as server:
                client = HttpClient(LIMITS, 2.0)
                found = await client.fetch(
                    server.address, "POST", "/", {}, body, 5.0, fresh=True
                )
                self.assertEqual(found.body, b"whole")
                self.assertEqual(client._pool._idle, {})
                await client.close()

        run(main)


class TestLateAnswers(unittest.TestCase):
    def fetch(self, script, name, **options):
        exchange = script.client.stream(
            script.address,
            "GET",
            "/",
            {},
            b"",
            5.0,
            accept=lambda status, headers: headers.get("x-id") == name,
            **options,
        )
        return collect(exchange)

    def test_a_duplicate_answer_to_an_earlier_request_is_skipped(self):
        """Guards against a caller that gets the answer to another request, or none.

        A target sends a second answer to a request, which arrives instead of the
        answer to the next request on that connection; answers were matched with
        requests by their order alone.
        """

        async def main():
            second = answer("one-again") + answer("two")
            async with ScriptedServer([answer("one"), second]) as script:
                first = await self.fetch(script, "one")
                self.assertEqual(first, b"one")
                self.assertEqual(await self.fetch(script, "two"), b"two")
                self.assertEqual(script.accepted, 1)

        run(main)

    def test_stale_answers_without_end_are_not_all_read(self):
        """Guards against a server that keeps its client busy with stale answers."""

        async def main():
            stale = answer("other") * 50 + answer("two")
            async with ScriptedServer([answer("one"), stale]) as script:
                await self.fetch(script, "one")
                with self.assertRaises(AnswerMalformed):
                    await self.fetch(script, "two")

        run(main)

    @params((10.0, 1), (0.0, 2))
    def test_a_connection_idle_for_too_long_is_not_reused(self, max_idle, accepted):
        async def main():
            answers = [answer("one"), answer("one")]
            async with ScriptedServer(answers, answers) as script:
                for _ in range(2):
                    await self.fetch(script, "one", max_idle=max_idle)
                    await curio.sleep(0.02)
                self.assertEqual(script.accepted, accepted)

        run(main)


if __name__ == "__main__":
    unittest.main()
