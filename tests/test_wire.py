"""Writes to a connection that are cancelled, and its close beside other tasks."""

import socket
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http._wire import Wire

SIZE = 1 << 23
"""Bytes that don't fit into the buffers of a connection."""
TIMEOUT = 5.0


def connected_pair():
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        ours = socket.create_connection(server.getsockname())
        return ours, server.accept()[0]


async def received_after_cancelled_send():
    ours, theirs = connected_pair()
    wire = Wire(curio.io.Socket(ours))
    first, second = b"a" * SIZE, b"b" * 10
    task = await curio.spawn(wire.send, first, TIMEOUT)
    while not wire.unsent:
        await curio.sleep(0)
    await task.cancel()
    task = await curio.spawn(wire.send, second, TIMEOUT)
    peer = curio.io.Socket(theirs)
    received = bytearray()
    async with peer, curio.timeout_after(TIMEOUT):
        while len(received) < SIZE + len(second):
            received += await peer.recv(SIZE)
            if received.endswith(second):
                break
    await task.join()
    await wire.close()
    return received == first + second


class TestCancelledSend(unittest.TestCase):
    def test_next_send_begins_with_the_rest(self):
        """Guards against an answer with a gap after a cancelled write."""
        self.assertTrue(curio.run(received_after_cancelled_send))


async def error_of(use):
    """Return the class of the OSError of a use of a connection; None: there is none."""
    try:
        await use
    except OSError as exc:
        return type(exc)
    return None


async def uses_after_close(name):
    ours, theirs = connected_pair()
    wire = Wire(curio.io.Socket(ours))
    await wire.close()
    uses = {
        "send": lambda: wire.send(b"a", TIMEOUT),
        "receive": lambda: wire.receive(TIMEOUT),
        "receive_next": wire.receive_next,
    }
    task = await curio.spawn(error_of, uses[name]())
    found = await task.join()
    theirs.close()
    return found


async def close_beside_tasks(with_reader, with_writer):
    """Return what the waiting tasks get, and whether the socket is closed at last."""
    ours, theirs = connected_pair()
    wire = Wire(curio.io.Socket(ours))
    tasks = []
    if with_reader:
        tasks.append(await curio.spawn(error_of, wire.receive_next()))
    if with_writer:
        tasks.append(await curio.spawn(error_of, wire.send(b"a" * SIZE, TIMEOUT)))
    while with_writer and not wire.unsent:
        await curio.sleep(0)
    await curio.sleep(0.01)
    await wire.close()
    peer = curio.io.Socket(theirs)
    async with peer, curio.timeout_after(TIMEOUT):
        while await peer.recv(SIZE):
            continue
        found = {await task.join() for task in tasks}
    # A descriptor that was closed too early can't be waited for any more.
    return found, ours.fileno() == -1


class TestClose(unittest.TestCase):
    @params("send", "receive", "receive_next")
    def test_use_after_close_fails_alone(self, name):
        """Guards against a process that ends because one task uses a closed socket."""
        self.assertIsNotNone(curio.run(uses_after_close, name))

    @params((True, False), (False, True), (True, True))
    def test_close_beside_waiting_tasks(self, with_reader, with_writer):
        """Guards against a process that ends because a socket is closed while other
        tasks wait for it."""
        found, is_closed = curio.run(close_beside_tasks, with_reader, with_writer)
        self.assertEqual(found, {ConnectionAbortedError})
        self.assertTrue(is_closed)


if __name__ == "__main__":
    unittest.main()
