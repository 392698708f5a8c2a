"""Any input from the network is parsed, or rejected with a typed error."""

import json
import socket
import unittest

import curio
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bronzepoint_cli._event_stream import EventStream
from bronzepoint_common.http import Request
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_common.peers._errors import FrameRejected
from bronzepoint_common.peers._frame import decode_frame, encode_frame
from bronzepoint_node.decisions import BadRequestId
from bronzepoint_node.decisions._request_id import parse_request_id
from bronzepoint_node.entry._call import call_of
from bronzepoint_node.entry._forward_context import decode_context
from bronzepoint_node.entry._refusals import RequestRefused
from bronzepoint_node.entry._route import ChatRoute, ServiceRoute, route_of
from bronzepoint_node.run_once._errors import InvalidKey
from bronzepoint_node.run_once._keys import parse_key
from bronzepoint_schema.generated.decisions import Ran
from bronzepoint_schema.generated.peers import Envelope, FrameKind
from tests._addresses import free_address
from tests._fake_host import FakeHost, Reply
from tests._fuzzing import fuzz

KEY = bytes(32)
HEADERS = st.dictionaries(
    st.sampled_from(
        [
            "authorization",
            "bronzepoint-deadline",
            "bronzepoint-residency",
            "bronzepoint-worth",
            "connection",
            "idempotency-key",
        ]
    ),
    st.text(max_size=40),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "content", "role", "stream", "x"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)

HTTP_PARTS = st.sampled_from(
    [
        b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST /x HTTP/1.1\r\nHost: h\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: -5\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Expect: 100-continue\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"\x00\xff",
    ]
)
PEER_PARTS = st.sampled_from(
    [
        b"\x00\x00\x00\x00",
        b"\x00\x00\x00\x05hello",
        b"\xff\xff\xff\xff",
        b"\x00\x10\x00\x00",
        b"GET / HTTP/1.1\r\n\r\n",
    ]
)
SOCKET_TIMEOUT = 30
"""Seconds after which a server that neither answers nor disconnects counts as hung."""


class WireFuzz(unittest.TestCase):
    def refused(self, act, *arguments) -> bool:
        """Return whether a call is refused as not run; other errors propagate."""
        try:
            act(*arguments)
        except RequestRefused as exc:
            self.assertIs(exc.refusal.ran, Ran.no)
            self.assertTrue(exc.refusal.remedy)
            return True
        return False

    @fuzz
    @given(st.sampled_from(["GET", "POST", "PUT", "X"]), st.text(max_size=60))
    def test_any_path(self, method, path):
        self.refused(route_of, Request(method, f"/{path}", {}, {}))

    @fuzz
    @given(st.binary(max_size=200), HEADERS)
    def test_any_body_of_a_chat(self, body, headers):
        request = Request("POST", "/v1/chat/completions", {}, headers)
        self.refused(call_of, ChatRoute(), request, body)

    @fuzz
    @given(JSON, HEADERS)
    def test_any_json_of_a_chat(self, value, headers):
        request = Request("POST", "/v1/chat/completions", {}, headers)
        body = json.dumps(value).encode()
        self.refused(call_of, ChatRoute(), request, body)

    @fuzz
    @given(st.text(max_size=60), HEADERS)
    def test_any_path_of_a_service(self, path, headers):
        request = Request("POST", f"/v1/services/x/{path}", {}, headers)
        request.raw_path = request.path
        self.refused(call_of, ServiceRoute("x", f"/{path}"), request, b"")

    @fuzz
    @given(st.text() | st.binary().map(lambda raw: raw.hex()))
    def test_any_forward_context(self, text):
        self.assertTrue(self.refused(decode_context, text, KEY))

    @fuzz
    @given(st.binary(max_size=100))
    def test_any_frame(self, frame):
        with self.assertRaises(FrameRejected):
            decode_frame(frame, KEY, "bkk-1")

    @fuzz
    @given(st.integers(0), st.integers(1, 255))
    def test_one_changed_byte_of_a_frame(self, at, change):
        envelope = Envelope("sgp-1", "bkk-1", FrameKind.post, 1, 0, b"x" * 20)
        frame = bytearray(encode_frame(envelope, KEY))
        self.assertEqual(decode_frame(bytes(frame), KEY, "bkk-1"), envelope)
        frame[at % len(frame)] ^= change
        with self.assertRaises(FrameRejected):
            decode_frame(bytes(frame), KEY, "bkk-1")

    @fuzz
    @given(st.text(max_size=120))
    def test_any_request_id(self, text):
        try:
            parse_request_id(text)
        except BadRequestId:
            return

    @fuzz
    @given(st.text(max_size=60))
    def test_any_idempotency_key(self, text):
        try:
            self.assertEqual(len(parse_key(text)), 16)
        except InvalidKey:
            return

    @fuzz
    @given(st.lists(st.text(max_size=8)), st.lists(st.integers(0, 200)))
    def test_events_do_not_depend_on_the_chunks(self, texts, cuts):
        data = [text for text in (line.strip() for line in texts) if text.isprintable()]
        sent = "".join(f"data: {text}\n\n" for text in data if text).encode()
        bounds = sorted({0, len(sent), *(min(cut, len(sent)) for cut in cuts)})
        stream = EventStream()
        found: list[str] = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            found += stream.feed(sent[start:end])
        self.assertEqual(found, [text for text in data if text])


class Ping(msgspec.Struct, tag="ping"):
    """The message that the hosts of this test exchange."""

    number: int


async def echo(_peer, message: Ping) -> Ping:
    """Answer a ping with the same message."""
    return message


class PeerBytesFuzz(unittest.TestCase):
    def send(self, port: int, sent: bytes) -> None:
        """Send bytes to the port for peers, and wait until it disconnects."""
        with socket.create_connection(("127.0.0.1", port), SOCKET_TIMEOUT) as sock:
            try:
                sock.sendall(sent)
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(65536):
                    continue
            except OSError:
                return

    @fuzz
    @given(st.lists(PEER_PARTS | st.binary(max_size=40), max_size=6))
    def test_any_bytes(self, parts):
        async def run() -> Ping:
            a_address, b_address = free_address(), free_address()
            first = Peers("a", a_address, KEY, Metrics())
            second = Peers("b", b_address, KEY, Metrics())
            for peers in (first, second):
                peers.register(Area.LIMITS, Ping, echo)
            await first.start()
            await second.start()
            try:
                port = int(b_address.rpartition(":")[2])
                await curio.run_in_thread(self.send, port, b"".join(parts))
                first.set_address("b", b_address)
                second.set_address("a", a_address)
                return await first.call("b", Area.LIMITS, Ping(7), SOCKET_TIMEOUT)
            finally:
                await first.close()
                await second.close()

        self.assertEqual(curio.run(run), Ping(7))


class HttpBytesFuzz(unittest.TestCase):
    def setUp(self):
        self.host = FakeHost({"GET /x": [Reply("fine")], "POST /x": [Reply("fine")]})
        self.host.start()
        self.addCleanup(self.host.close)

    def exchange(self, sent: bytes) -> bytes:
        """Send bytes, shut down sending, and return the whole answer."""
        host, _, port = self.host.address.rpartition(":")
        with socket.create_connection((host, int(port)), SOCKET_TIMEOUT) as sock:
            received = b""
            try:
                sock.sendall(sent)
                sock.shutdown(socket.SHUT_WR)
                while data := sock.recv(65536):
                    received += data
            except (ConnectionResetError, BrokenPipeError):
                return received
        return received

    @fuzz
    @given(st.lists(HTTP_PARTS | st.binary(max_size=20), max_size=6))
    def test_any_bytes(self, parts):
        received = self.exchange(b"".join(parts))
        self.assertTrue(received == b"" or received.startswith(b"HTTP/1.1 "), received)
        good = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        self.assertIn(b"200", self.exchange(good).split(b"\r\n")[0])
