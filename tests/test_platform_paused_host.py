"""Tests of what a host does as it resumes after a pause: real processes."""

import signal
import socket
import unittest

import curio
from nose2.tools import params

from tests._platform_site import PlatformSite
from tests.test_platform_frozen_host import request

PAUSE = 3.0
"""Seconds for which the host is suspended."""
CALLERS = 8
"""Number of waiting requests; the targets have slots for all of them."""
READ_TIMEOUT = 20.0
"""Seconds to wait for an answer."""


class WaitingCallers:
    """Connections whose requests wait in the socket of a suspended host.

    Args:
        address: IP address and port of the host.
    """

    def __init__(self, address):
        self._address = address
        self._conns = []

    async def connect(self):
        """Open all connections, and use each for one request."""
        for number in range(CALLERS):
            conn = socket.create_connection(self._address, READ_TIMEOUT)
            self._conns.append(conn)
            conn.sendall(request(f"warm-{number}", "body"))
            status = await curio.run_in_thread(_read_status, conn)
            if status != 200:
                raise AssertionError(f"status {status} before the pause")

    def ask(self):
        """Send a request on each connection."""
        for number, conn in enumerate(self._conns):
            conn.sendall(request(f"late-{number}", "body"))

    async def statuses(self):
        """Read an answer on each connection; return their status codes."""
        return [await curio.run_in_thread(_read_status, conn) for conn in self._conns]

    def close(self):
        for conn in self._conns:
            conn.close()


def _read_status(conn):
    head = b""
    while b"\r\n\r\n" not in head:
        head += _read(conn)
    head, _, body = head.partition(b"\r\n\r\n")
    (length,) = (
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length:")
    )
    while len(body) < length:
        body += _read(conn)
    return int(head.split()[1])


def _read(conn):
    data = conn.recv(4096)
    if not data:
        raise AssertionError("the connection was closed without an answer")
    return data


class TestPausedHost(unittest.TestCase):
    def _pause(self, meanwhile=None):
        """Suspend a host while callers wait.

        Args:
            meanwhile: Called with the site while the host is suspended.

        Returns:
            Status codes of the answers, the messages of the host's log, and the ids
            of the waiting requests that have reached a target.
        """

        async def main():
            async with PlatformSite() as site:
                callers = WaitingCallers(("127.0.0.3", site.front))
                try:
                    await callers.connect()
                    site.signal("entry", signal.SIGSTOP)
                    callers.ask()
                    if meanwhile:
                        await meanwhile(site)
                    await curio.sleep(PAUSE)
                    site.signal("entry", signal.SIGCONT)
                    statuses = await callers.statuses()
                finally:
                    callers.close()
                messages = [line["message"] for line in site.lines("entry")]
                ids = {
                    request.headers["x-bronzepoint-request-id"]
                    for target in site.targets
                    for request in target.seen
                }
                return statuses, messages, {i for i in ids if i.startswith("id-late")}

        return curio.run(main)

    def test_a_pause_is_not_overload(self):
        """Guards against a host that refuses requests as overloaded, and is left out by
        others, since it was suspended once."""
        statuses, messages, _ = self._pause()
        self.assertEqual(statuses, [200] * CALLERS)
        self.assertIn("event loop late", messages)
        self.assertNotIn("lags", messages)

    @params("closed", "leaving")
    def test_nothing_is_sent_by_what_was_known_before_the_pause(self, change):
        """Guards against requests that a host sends to a data center that was closed,
        or to targets that began to leave, while it was suspended."""

        async def close_data_center(site):
            async def accepted():
                path = "/-/evacuations/x-a"
                return (await site.control_call("POST", path)).status == 200

            await site.until(accepted)

        async def let_targets_leave(site):
            site.listed = [target.listed("draining") for target in site.targets]

        meanwhile = close_data_center if change == "closed" else let_targets_leave
        statuses, _, reached = self._pause(meanwhile)
        self.assertEqual(statuses, [503] * CALLERS)
        self.assertEqual(reached, set())


if __name__ == "__main__":
    unittest.main()
