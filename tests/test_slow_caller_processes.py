"""A caller that reads slowly gets its stream whole: real processes."""

import os.path
import socket
import unittest

import curio
import h11
from nose2.tools import params

from tests._platform_site import PlatformSite, manifest
from tests._stand_in_target import StandInTarget
from tests.test_http_server import run
from tests.test_slow_targets_processes import ENTRIES, HOST_NAME, HOSTS

PATH = "/large/"
"""Path of a route whose streams may be resumed."""
TIMEOUT_MS = 20000
"""Time limit of each request, in milliseconds."""
EVENTS = 28
"""Number of events of a whole stream."""
SIZE = 1 << 19
"""Bytes of an event; a stream doesn't fit into the buffers on its way."""
RECEIVE_BUFFER = 1 << 16
"""Maximum bytes that the caller's socket holds until they are read."""
READ_SIZE = 1 << 18
PAUSE = 4.5
"""Seconds for which the caller reads nothing."""
MAX_WAIT = 18.0
"""Seconds to wait for a stream."""
SMALL = "small"
"""Id of requests whose stream has a single event."""


def event(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"%02d" % number * (SIZE // 2))


def whole_stream(request_id):
    count = 1 if request_id == SMALL else EVENTS
    return b"".join(event(number) for number in range(1, count + 1))


class LargeTarget(StandInTarget):
    """Target that sends streams of large events without pauses."""

    async def _stream(self, exchange, headers, count):
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        last = 1 if headers["X-Bronzepoint-Request-Id"] == SMALL else EVENTS
        await exchange.start_stream(200, headers)
        for number in range(first, last + 1):
            await exchange.send(event(number))
        await exchange.end()

    async def _answer(self, exchange):
        name = exchange.request.headers.get("x-bronzepoint-expect-instance")
        if not exchange.request.path.startswith(PATH) or name != self.name:
            await super()._answer(exchange)
            return
        request_id = exchange.request.headers["x-bronzepoint-request-id"]
        self.ran[request_id] += 1
        headers = {
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Response-Seal": self.name,
        }
        await self._stream(exchange, headers, EVENTS)


class LargeSite(PlatformSite):
    """Entry hosts in two regions before targets that send large streams."""

    def __init__(self):
        super().__init__(hosts=HOSTS)
        self.regions = {"entry-y": "y"}

    def make_target(self, name, ip, port):
        return LargeTarget(name, ip, port)

    async def serve_route(self):
        """Put the route in force, and wait until both regions serve it."""
        document = manifest(2)
        limits = {"host": HOST_NAME, "timeout_ms": TIMEOUT_MS, "max_attempts": 2}
        route = {**document["routes"][2], **limits, "name": PATH, "path_prefix": PATH}
        document["routes"].append(route)
        await self.until_put(document)

        async def is_served():
            found = [await self.read(name, SMALL, 0.0) for name in ENTRIES]
            return found == [(whole_stream(SMALL), "complete")] * len(ENTRIES)

        await self.until(is_served)

    async def read(self, name, request_id, pause):
        """Request a stream, read nothing for a while; return its body and its end."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        try:
            async with sock, curio.timeout_after(MAX_WAIT):
                await sock.connect((self.hosts[name][1], self.front))
                return await _exchange(sock, request_id, pause)
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as exc:
            return b"", repr(exc)


async def _exchange(sock, request_id, pause):
    conn = h11.Connection(h11.CLIENT)
    headers = {
        "Host": HOST_NAME,
        "X-Bronzepoint-Request-Id": request_id,
        "X-Bronzepoint-Deadline-Ms": str(TIMEOUT_MS),
    }
    request = h11.Request(
        method="POST", target=f"{PATH}a", headers=list(headers.items())
    )
    await sock.sendall(conn.send(request) + conn.send(h11.EndOfMessage()))
    await curio.sleep(pause)
    body = bytearray()
    while True:
        match conn.next_event():
            case h11.NEED_DATA:
                conn.receive_data(await sock.recv(READ_SIZE))
            case h11.Data(data=data):
                body += data
            case h11.EndOfMessage():
                return bytes(body), "complete"
            case h11.ConnectionClosed():
                return bytes(body), "closed"


class SlowCallers(unittest.TestCase):
    """Guards against streams that are damaged when their caller reads slowly."""

    @params(*ENTRIES)
    def test_a_stream_is_whole_and_runs_once(self, name):
        async def main():
            async with LargeSite() as site:
                await site.serve_route()
                found, end = await site.read(name, name, PAUSE)
                whole = whole_stream(name)
                same = len(os.path.commonprefix([found, whole]))
                runs = sum(target.ran[name] for target in site.targets)
                tries = [
                    (host, line["outcome"], line["tries"])
                    for host in ENTRIES
                    for line in site.lines(host)
                    if "tries" in line and name in str(line)
                ]
                self.assertEqual(
                    (end, runs, same, len(found)),
                    ("complete", 1, len(whole), len(whole)),
                    tries,
                )

        run(main)


if __name__ == "__main__":
    unittest.main()
