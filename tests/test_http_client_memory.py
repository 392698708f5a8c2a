"""Which connections give way when the memory for clients is used up."""

import unittest
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.http import (
    ClientMemory,
    HttpClient,
    HttpLimits,
    HttpServer,
    MemoryExhausted,
    client_memory,
)
from bronzepoint_common.http import _client_memory as module
from bronzepoint_common.http._client_memory import CONNECTION_BYTES

MB = 1 << 20


class TestShares(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(module, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.memory = ClientMemory(4 * MB, 8)
        self.closed = []

    def open(self, name, size=0, at_work=False):
        share = self.memory.open(lambda: self.closed.append(name))
        share.resize(size)
        share.at_work = at_work
        return share

    @params(
        # Held by a, b and c: size and whether it is worked on; what a newcomer needs,
        # and who is closed for it.
        ([(1, False), (2, False), (0.5, False)], 0.5, ["b"]),
        ([(1, False), (2, True), (0.5, False)], 0.5, ["a"]),
        ([(1, True), (2, True), (0.5, True)], 0.5, None),
        ([(0.5, False), (1, False), (1, False)], 1.5, None),
        ([(1.5, False), (1, False), (1, False)], 1.4, ["a"]),
        ([(0.5, False), (1, True), (1, False)], 3.0, None),
    )
    def test_largest_incomplete_request_gives_way(self, held, wanted, expected):
        """Guards against ordinary requests that are refused for large ones which are
        never complete."""
        for name, (size, at_work) in zip("abc", held, strict=True):
            self.open(name, int(size * MB), at_work)
            self.now += 0.1
        newcomer = self.open("new")
        if expected is None:
            with self.assertRaises(MemoryExhausted):
                newcomer.resize(int(wanted * MB))
            return
        newcomer.resize(int(wanted * MB))
        self.assertEqual(self.closed, expected)
        self.assertLessEqual(self.memory.held, 4 * MB)

    def test_stalled_request_gives_way_to_a_larger_one_in_progress(self):
        """Guards against a large request that is refused for smaller ones whose clients
        have stopped sending."""
        for name in "abc":
            self.open(name, MB)
            self.now += 0.1
        self.now += 2.0
        self.open("new").resize(2 * MB)
        self.assertEqual(self.closed, ["a", "b"])

    def test_longest_idle_connection_gives_way_to_a_new_one(self):
        """Guards against clients that keep all others out by open connections."""
        shares = []
        for name in "abcdefgh":
            shares.append(self.open(name))
            self.now += 0.1
        shares[0].at_work = True
        self.open("i")
        self.assertEqual(self.closed, ["b"])
        self.assertEqual(self.memory.held, 8 * CONNECTION_BYTES)

    def test_connection_that_gave_way_takes_no_room(self):
        """Guards against room that is never given back, by data that a connection had
        received when it was closed."""
        share = self.open("a", MB)
        newcomer = self.open("new")
        self.now += 2.0
        newcomer.resize(int(3.5 * MB))
        self.assertEqual(self.closed, ["a"])
        with self.assertRaises(MemoryExhausted):
            share.resize(10)
        share.end()
        newcomer.end()
        self.assertEqual(self.memory.held, 0)

    def test_connection_is_refused_while_all_others_are_at_work(self):
        for name in "abcdefgh":
            self.open(name, 0, at_work=True)
        self.assertIsNone(self.memory.open(lambda: None))
        self.assertEqual(self.closed, [])


class TestServer(unittest.TestCase):
    def test_request_without_room_is_refused_with_a_time(self):
        """Guards against a refusal that doesn't say when there may be room."""

        async def main():
            async def answer(exchange):
                await exchange.respond(200, {}, await exchange.body())

            memory = client_memory(max_bytes=CONNECTION_BYTES + 10000)
            server = HttpServer(answer, HttpLimits(), memory=memory)
            await server.start("127.0.0.1:0")
            client = HttpClient(HttpLimits(), 1.0)
            answers = [
                await client.fetch(
                    server.address, "POST", "/", {"host": "h"}, bytes(size), 5.0
                )
                for size in (5000, 20000, 5000)
            ]
            await client.close()
            await server.close(0)
            return answers, memory.held

        answers, held = curio.run(main)
        self.assertEqual([answer.status for answer in answers], [200, 503, 200])
        self.assertEqual(answers[1].headers["retry-after"], "1")
        self.assertEqual(held, 0)


if __name__ == "__main__":
    unittest.main()
