"""The client towards targets: full ones, early, late and unframed answers."""

import socket
import struct
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import (
    AnswerCut,
    ConnectFailed,
    HttpClient,
    HttpLimits,
    format_address,
)
from tests.test_http_client import WHOLE, Script
from tests.test_http_server import read_until, run

LIMITS = HttpLimits(max_body=1 << 20)
RESET = struct.pack("ii", 1, 0)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


def answer(name):
    head = f"HTTP/1.1 200 OK\r\nx-id: {name}\r\nContent-Length: {len(name)}\r\n\r\n"
    return head.encode() + name.encode()


class RawServer:
    """Accepts connections and hands each to ``play``."""

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
        """Symptom: a caller gets a part of an answer as if it were all.
        Sequence: a target answers without a length, and its connection is reset
        before the answer's end.
        Cause: a reset and an ordinary end were both passed on as the end."""

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
                    server.address, "GET", "/", {}, b"", 5.0, unframed=True
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


class TestFullTargets(unittest.TestCase):
    @params(True, False)
    def test_a_reset_before_the_request_proves_that_it_did_not_run(self, full):
        """Symptom: requests that may not run twice fail with 502, though they reached
        no target.
        Sequence: a full target accepts and resets at once; the request is written
        before the reset is seen.
        Cause: after that the reset proves nothing."""

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
    def test_an_answer_before_the_body_is_read_is_taken(self):
        """Symptom: a rejected request waits for its deadline.
        Sequence: a target answers a long request before it has read it, and reads no
        more.
        Cause: the answer was looked for only once the whole body was written."""
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
                self.assertEqual(client._pool._kept, {})
                await client.close()

        run(main)


class TestLateAnswers(unittest.TestCase):
    def ask(self, script, name, **options):
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

    def test_a_second_answer_to_a_former_request_is_read_past(self):
        """Symptom: a caller gets the answer to another request, or none.
        Sequence: a target sends a second answer to a request; it arrives where the
        answer to the next request on that connection is expected.
        Cause: answers were told apart by their order alone."""

        async def main():
            second = answer("one-again") + answer("two")
            async with Script([answer("one"), second]) as script:
                first = await self.ask(script, "one")
                self.assertEqual(first, b"one")
                self.assertEqual(await self.ask(script, "two"), b"two")
                self.assertEqual(script.accepted, 1)

        run(main)

    @params((10.0, 1), (0.0, 2))
    def test_a_connection_that_was_idle_for_long_is_not_used(self, max_idle, accepted):
        async def main():
            answers = [answer("one"), answer("one")]
            async with Script(answers, answers) as script:
                for _ in range(2):
                    await self.ask(script, "one", max_idle=max_idle)
                    await curio.sleep(0.02)
                self.assertEqual(script.accepted, accepted)

        run(main)


if __name__ == "__main__":
    unittest.main()
