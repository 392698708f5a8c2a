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
    Unframed,
    format_address,
)
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
