"""The fault proxy between a client and an echo server."""

import socket
import socketserver
import tempfile
import threading
import time
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from bronzepoint_emulator.deployment import (
    Client,
    ManagedProcess,
    PortBlock,
    wait_until,
)
from bronzepoint_emulator.deployment._targets import stand_in
from bronzepoint_schema.generated.emulator import (
    LinkFault,
    LinkFaults,
    LinkMode,
    LinkSpec,
    ProxyPlan,
)

LINK = "a>b/peer"
OTHER = "b>a/peer"
BLOCKED_TIMEOUT = 0.3
"""Seconds without data after which a link counts as blocked."""


class Echo(socketserver.BaseRequestHandler):
    def handle(self):
        try:
            while data := self.request.recv(65536):
                self.server.received += data
                self.request.sendall(data)
        except ConnectionResetError:
            return


class EchoServer(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    received = b""


class FaultProxyTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ports = PortBlock()
        ports.start()
        self.addCleanup(ports.close)
        self.server = EchoServer(("127.0.0.1", 0), Echo)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        real = f"127.0.0.1:{self.server.server_address[1]}"
        self.links = {name: ports.address() for name in (LINK, OTHER)}
        specs = [LinkSpec(name, address, real) for name, address in self.links.items()]
        plan = ProxyPlan(control=ports.address(), links=specs)
        self.proxy: ManagedProcess = stand_in("fault_proxy", plan, Path(folder.name))
        self.proxy.start()
        self.addCleanup(self.proxy.close, 5.0)
        self.control = Client(plan.control)
        self.proxy.wait_answering(plan.control, "/links")

    def change(self, mode, link=LINK, **more):
        faults = LinkFaults(links=[LinkFault(link=link, mode=mode, **more)])
        reply = self.control.post("/links", msgspec.json.encode(faults))
        self.assertEqual(reply.status, 200)

    def connect(self, link=LINK):
        host, _, port = self.links[link].rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(sock.close)
        return sock

    def assert_blocked(self, sock):
        sock.settimeout(BLOCKED_TIMEOUT)
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(10)

    def test_all_bytes_and_end_of_stream_are_forwarded(self):
        """A slow reader must receive the last bytes of a stream.

        Both sides have sent all data and ended their streams while the kernel still
        buffers the last bytes. They are lost if the proxy then resets the connection
        instead of closing it.
        """
        sock = self.connect()
        sock.sendall(b"x" * 300000)
        sock.shutdown(socket.SHUT_WR)
        # Reading starts late, so that bytes are buffered in the proxy's socket.
        wait_until(
            lambda: len(self.server.received) == 300000, "all bytes are received"
        )
        received = b""
        while data := sock.recv(65536):
            received += data
        self.assertEqual(len(received), 300000)

    def test_partition_blocks_bytes_until_it_heals(self):
        """No bytes arrive during a partition; they are delivered afterwards."""
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.change(LinkMode.cut)
        sock.sendall(b"2")
        self.assert_blocked(sock)
        self.assertEqual(self.server.received, b"1")
        self.change(LinkMode.pass_)
        self.assertEqual(sock.recv(1), b"2")

    def test_new_connection_during_a_partition_is_blocked(self):
        self.change(LinkMode.cut)
        sock = self.connect()
        sock.sendall(b"1")
        self.assert_blocked(sock)
        self.change(LinkMode.pass_)
        self.assertEqual(sock.recv(1), b"1")

    @params((LinkMode.cut_forward, b"1"), (LinkMode.cut_backward, b"12"))
    def test_partition_in_one_direction(self, mode, received):
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.change(mode)
        sock.sendall(b"2")
        self.assert_blocked(sock)
        self.assertEqual(self.server.received, received)

    def test_partition_does_not_affect_other_links(self):
        self.change(LinkMode.cut)
        sock = self.connect(OTHER)
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")

    def test_reset_closes_connections(self):
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.change(LinkMode.reset)
        with self.assertRaises(ConnectionResetError):
            sock.recv(1)

    def test_refusing_link_accepts_no_connection(self):
        self.change(LinkMode.refuse)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        self.change(LinkMode.pass_)
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")

    def test_connection_is_reset_after_some_bytes(self):
        self.change(LinkMode.pass_, cut_after=3)
        sock = self.connect()
        sock.sendall(b"12345")
        received = b""
        with self.assertRaises(ConnectionResetError):
            while data := sock.recv(1):
                received += data
        self.assertTrue(b"123".startswith(received))

    def test_delay_applies_to_each_direction(self):
        self.change(LinkMode.pass_, delay=0.1)
        sock = self.connect()
        began = time.monotonic()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.assertGreaterEqual(time.monotonic() - began, 0.2)

    def test_unknown_link_is_reported_by_name(self):
        faults = LinkFaults(links=[LinkFault(link="nowhere")])
        reply = self.control.post("/links", msgspec.json.encode(faults))
        self.assertEqual(reply.status, 404)
        self.assertEqual(reply.json(), ["nowhere"])
