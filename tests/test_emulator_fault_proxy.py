"""The fault proxy between a client and an echoing server."""

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
SILENCE = 0.3


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

    def assert_silent(self, sock):
        sock.settimeout(SILENCE)
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(10)

    def test_bytes_pass_both_ways_and_the_end_too(self):
        """A reader that is slow loses the end of what was sent to it.

        Sequence: the server sends all and closes, the proxy passes the end on and
        closes too, while its kernel still holds the last bytes. Cause: a reset at the
        end of a connection that was carried whole.
        """
        sock = self.connect()
        sock.sendall(b"x" * 300000)
        sock.shutdown(socket.SHUT_WR)
        # Only read once the server has sent everything, so that bytes do wait.
        wait_until(lambda: len(self.server.received) == 300000, "all came")
        received = b""
        while data := sock.recv(65536):
            received += data
        self.assertEqual(len(received), 300000)

    def test_cut_is_silent_and_delivers_after_it_heals(self):
        """A partition shows nothing but silence, and late bytes come after it."""
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.change(LinkMode.cut)
        sock.sendall(b"2")
        self.assert_silent(sock)
        self.assertEqual(self.server.received, b"1")
        self.change(LinkMode.pass_)
        self.assertEqual(sock.recv(1), b"2")

    def test_new_connection_during_a_cut_is_held(self):
        self.change(LinkMode.cut)
        sock = self.connect()
        sock.sendall(b"1")
        self.assert_silent(sock)
        self.change(LinkMode.pass_)
        self.assertEqual(sock.recv(1), b"1")

    @params((LinkMode.cut_forward, b"1"), (LinkMode.cut_backward, b"12"))
    def test_cut_one_way(self, mode, received):
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.change(mode)
        sock.sendall(b"2")
        self.assert_silent(sock)
        self.assertEqual(self.server.received, received)

    def test_cut_leaves_other_links_alone(self):
        self.change(LinkMode.cut)
        sock = self.connect(OTHER)
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")

    def test_reset_ends_connections(self):
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.change(LinkMode.reset)
        with self.assertRaises(ConnectionResetError):
            sock.recv(1)

    def test_refused_link_takes_no_connection(self):
        self.change(LinkMode.refuse)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
        self.change(LinkMode.pass_)
        sock = self.connect()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")

    def test_cut_after_some_bytes(self):
        self.change(LinkMode.pass_, cut_after=3)
        sock = self.connect()
        sock.sendall(b"12345")
        received = b""
        with self.assertRaises(ConnectionResetError):
            while data := sock.recv(1):
                received += data
        self.assertTrue(b"123".startswith(received))

    def test_delay_holds_each_way(self):
        self.change(LinkMode.pass_, delay=0.1)
        sock = self.connect()
        began = time.monotonic()
        sock.sendall(b"1")
        self.assertEqual(sock.recv(1), b"1")
        self.assertGreaterEqual(time.monotonic() - began, 0.2)

    def test_unknown_link_is_named(self):
        faults = LinkFaults(links=[LinkFault(link="nowhere")])
        reply = self.control.post("/links", msgspec.json.encode(faults))
        self.assertEqual(reply.status, 404)
        self.assertEqual(reply.json(), ["nowhere"])
