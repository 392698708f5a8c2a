"""Writes to a connection that are cancelled."""

import socket
import unittest

import curio

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


if __name__ == "__main__":
    unittest.main()
