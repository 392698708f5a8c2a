"""Tests of a host that is suspended while callers send requests to it."""

import signal
import socket
import unittest

import curio
from nose2.tools import params

from tests._platform_site import PlatformSite

CALLERS = 20
SUSPENDED_TIME = 1.0
"""Seconds for which the host is suspended."""


def request(number, body):
    head = (
        "POST /safe/a HTTP/1.1",
        "Host: h.example",
        f"X-Bronzepoint-Request-Id: id-{number}",
        "X-Bronzepoint-Deadline-Ms: 4000",
        f"Content-Length: {len(body)}",
    )
    return "\r\n".join((*head, "", body)).encode()


async def send_requests(address, close_connections):
    """Send requests to a suspended host and return the connections.

    Args:
        address: Address of the host.
        close_connections: Whether to close the connections before returning.
    """
    host, _, port = address.rpartition(":")
    conns = []
    for number in range(CALLERS):
        conn = socket.create_connection((host, int(port)), timeout=4.0)
        conn.sendall(request(number, f"body {number}"))
        conns.append(conn)
    await curio.sleep(SUSPENDED_TIME)
    if close_connections:
        for conn in conns:
            conn.close()
    return conns


def arrivals(site):
    return sum(len(target.seen) for target in site.targets)


class TestFrozenHost(unittest.TestCase):
    def _arrivals(self, close_connections):
        """Return how many requests reach a target once the host resumes."""

        async def main():
            async with PlatformSite() as site:
                address = f"127.0.0.3:{site.front}"
                # Opens the connections to the targets.
                for number in range(8):
                    await site.ask("/safe/a", f"warm-{number}")
                before = arrivals(site)
                site.signal("entry", signal.SIGSTOP)
                conns = await send_requests(address, close_connections)
                site.signal("entry", signal.SIGCONT)

                async def all_arrived():
                    return arrivals(site) - before == CALLERS

                if close_connections:
                    await curio.sleep(1.0)
                else:
                    await site.until(all_arrived)
                for conn in conns:
                    conn.close()
                return arrivals(site) - before

        return curio.run(main)

    def test_requests_of_disconnected_callers_reach_no_target(self):
        """Guards against running requests whose callers closed their connections.

        They did so while the host was suspended with the requests unread.
        """
        self.assertEqual(self._arrivals(close_connections=True), 0)

    def test_requests_of_waiting_callers_are_served(self):
        self.assertEqual(self._arrivals(close_connections=False), CALLERS)


CORES = {
    "core": ("core", "127.0.0.2"),
    "core-2": ("core", "127.0.0.4"),
    "core-3": ("core", "127.0.0.5"),
}
FREEZE_TIME = 2.5
"""Seconds for which a core host is suspended."""


class TestFrozenCoreHost(unittest.TestCase):
    @params("operator leaves", "end of the connection is lost", "operator goes on")
    def test_order_read_after_a_pause_does_not_undo_newer_ones(self, case):
        """Guards against an evacuation undone by an order that a frozen host had."""

        async def main():
            hosts = {**CORES, "entry": ("entry", "127.0.0.3")}
            async with PlatformSite(hosts=hosts) as site:
                await self._order(site, "POST", "core-2")
                await site.until(lambda: self._is_closed(site))
                site.signal("core-2", signal.SIGSTOP)
                conn = socket.create_connection(("127.0.0.4", site.control))
                conn.sendall(b"DELETE /-/evacuations/x-a HTTP/1.1\r\nHost: c\r\n\r\n")
                await curio.sleep(1.0)
                if case == "operator leaves":
                    conn.close()
                await self._order(site, "DELETE", "core-3")
                if case != "operator goes on":
                    await self._order(site, "POST", "core-3")
                await curio.sleep(FREEZE_TIME - 1.0)
                site.signal("core-2", signal.SIGCONT)
                await curio.sleep(2.0)
                closed = await self._is_closed(site)
                conn.close()
                messages = {line["message"] for line in site.lines("core-2")}
                return closed, "data center open" in messages

        closed = case != "operator goes on"
        self.assertEqual(curio.run(main), (closed, False))

    async def _order(self, site, method, name):
        async def accepted():
            path = "/-/evacuations/x-a"
            return (await site.control_call(method, path, name=name)).status == 200

        await site.until(accepted)

    async def _is_closed(self, site):
        return (await site.ask("/safe/a")).status == 503


if __name__ == "__main__":
    unittest.main()
