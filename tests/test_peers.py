"""Control messages between hosts: exchange, rejection, and loss."""

import unittest
from unittest import mock

import curio
import msgspec
from logbook import TestHandler as LogCapture
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import (
    Area,
    FrameRejected,
    PeerFailed,
    Peers,
    PeerTimeout,
    PeerUnknown,
    _outbox,
)
from bronzepoint_common.peers._frame import decode_frame, encode_frame
from bronzepoint_common.peers._outbox import Outbox
from bronzepoint_schema.generated.peers import Envelope, FrameKind
from bronzepoint_schema.ids import HostName
from tests._addresses import free_address

KEY = b"k" * 32
A = HostName("a")
B = HostName("b")
PATIENCE = 30.0
PEERS = 79
CONTROL_MEMORY = 64e6
"""Bytes that a host may use for control."""


class Ping(msgspec.Struct, tag="ping"):
    text: str


class Pong(msgspec.Struct, tag="pong"):
    text: str


class Burst(msgspec.Struct, tag="burst"):
    number: int


def envelope(**changes) -> Envelope:
    base = Envelope(A, B, FrameKind.post, 1, 0, b"x")
    return msgspec.structs.replace(base, **changes)


class FrameTest(unittest.TestCase):
    def test_round_trip(self):
        frame = encode_frame(envelope(), KEY)
        self.assertEqual(decode_frame(frame, KEY, B), envelope())

    @params(
        ("truncated", b"", b""),
        ("version", b"\x63", b""),
        ("mac", b"", b"!"),
    )
    def test_rejects(self, reason, head, tail):
        good = encode_frame(envelope(), KEY)
        frame = head + good[len(head) :] + tail if reason != "truncated" else good[:5]
        with self.assertRaises(FrameRejected) as caught:
            decode_frame(frame, KEY, B)
        self.assertEqual(caught.exception.reason, reason)

    def test_rejects_another_key(self):
        frame = encode_frame(envelope(), b"z" * 32)
        with self.assertRaises(FrameRejected) as caught:
            decode_frame(frame, KEY, B)
        self.assertEqual(caught.exception.reason, "mac")

    def test_rejects_a_frame_meant_for_another_host(self):
        """Symptom: a host acts on a message that another host was sent.

        Sequence: a frame from A to B is recorded on the wire and sent to C.
        Cause: without the receiver under the MAC, every host accepts it.
        """
        frame = encode_frame(envelope(), KEY)
        with self.assertRaises(FrameRejected) as caught:
            decode_frame(frame, KEY, HostName("c"))
        self.assertEqual(caught.exception.reason, "receiver")


async def run_pair(use):
    """Start two hosts that know each other and hand them to ``use``."""
    addresses = {A: free_address(), B: free_address()}
    hosts = [Peers(name, addresses[name], KEY, Metrics()) for name in (A, B)]
    for host in hosts:
        for name, address in addresses.items():
            host.set_address(name, address)
        await host.start()
    try:
        await use(*hosts)
    finally:
        for host in hosts:
            await host.close()


class PeersTest(unittest.TestCase):
    def test_call_is_answered(self):
        async def answer(sender, message):
            return Pong(f"{sender}:{message.text}")

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Pong, answer)
            reply = await a.call(B, Area.AGREEMENT, Ping("hello"), PATIENCE)
            self.assertEqual(reply, Pong("a:hello"))

        curio.run(run_pair, use)

    def test_messages_of_one_peer_keep_their_order(self):
        got = []
        count = 100

        async def take(sender, message):
            got.append(message.number)

        async def use(a, b):
            b.register(Area.MEMBERSHIP, Burst, take)
            for number in range(count):
                while not a.post(B, Area.MEMBERSHIP, Burst(number)):
                    await curio.sleep(0.01)
            async with curio.timeout_after(PATIENCE):
                while len(got) < count:
                    await curio.sleep(0.01)
            self.assertEqual(got, list(range(count)))

        curio.run(run_pair, use)

    def test_a_failing_handler_is_reported_and_later_calls_are_answered(self):
        """Symptom: a host looks alive and never answers one peer again.

        Sequence: a message makes the handler raise; the next message is fine.
        Cause: the error ends the task that serves this peer.
        """

        async def answer(sender, message):
            if message.text == "bad":
                raise ValueError("no")
            return Pong(message.text)

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Pong, answer)
            with self.assertRaises(PeerFailed):
                await a.call(B, Area.AGREEMENT, Ping("bad"), PATIENCE)
            reply = await a.call(B, Area.AGREEMENT, Ping("good"), PATIENCE)
            self.assertEqual(reply, Pong("good"))

        curio.run(run_pair, use)

    def test_unknown_peer(self):
        async def use(a, b):
            self.assertFalse(a.post(HostName("c"), Area.AGREEMENT, Ping("x")))
            with self.assertRaises(PeerUnknown):
                await a.call(HostName("c"), Area.AGREEMENT, Ping("x"), PATIENCE)

        curio.run(run_pair, use)

    def test_a_call_that_nobody_answers_times_out(self):
        async def ignore(sender, message):
            return None

        async def use(a, b):
            b.register(Area.AGREEMENT, Ping | Pong, ignore)
            a.register(Area.AGREEMENT, Ping | Pong, ignore)
            with self.assertRaises(PeerTimeout):
                await a.call(B, Area.AGREEMENT, Ping("x"), 0.05)

        curio.run(run_pair, use)

    def test_late_answers_are_counted_with_their_bytes(self):
        """An answer whose question was given up takes up the link for nothing, and
        nothing told of its size or of how late it came."""
        asked = curio.Event()

        async def answer(sender, message):
            await asked.wait()
            return Pong("x" * 1000)

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Pong, answer)
            with self.assertRaises(PeerTimeout):
                await a.call(B, Area.AGREEMENT, Ping("x"), 0.05)
            with LogCapture() as lines:
                await asked.set()
                async with curio.timeout_after(PATIENCE):
                    while not a._metrics.counters().get("peers.late_reply"):
                        await curio.sleep(0.01)
            counters = a._metrics.counters()
            self.assertGreater(counters["peers.late_reply_bytes"], 1000)
            (line,) = lines.records
            self.assertEqual((line.message, line.kwargs["sender"]), ("late answer", B))
            self.assertGreaterEqual(line.kwargs["seconds"], 0.05)
            sent = b._metrics.counters()["peers.sent_bytes.agreement"]
            self.assertGreater(sent, 1000)

        curio.run(run_pair, use)

    def test_an_address_of_the_settings_is_not_replaced(self):
        """Symptom: messages to a peer go past the address that the operator gave.

        Sequence: the settings name an address; gossip then names another one.
        Cause: the later address replaces the former.
        """
        host = Peers(A, free_address(), KEY, Metrics())
        host.set_address(B, "127.0.0.1:1", fixed=True)
        host.set_address(B, "127.0.0.1:2")
        self.assertEqual(host._addresses[B], "127.0.0.1:1")


class TestOutbox(unittest.TestCase):
    def test_what_waits_for_slow_peers_is_bounded_in_bytes(self):
        """After a loss of power three hosts of the core grew by 40 MB a second, to
        296 MB, and were killed, again and again: 70 starting hosts asked each of them
        for the catalogue several times a second, over links that carried one answer of
        300 KB in half a second. 128 frames were kept for each peer, whatever their
        size."""
        boxes = [Outbox("127.0.0.1:1", lambda _: None) for _ in range(PEERS)]
        frame = bytes(300_000)
        for box in boxes:
            for _ in range(10):
                box.send(frame)
        self.assertLess(sum(box.waiting_bytes for box in boxes), CONTROL_MEMORY)
        self.assertTrue(all(box.waiting_bytes >= len(frame) for box in boxes))

    def test_first_connections_are_given_up_soon(self):
        """Symptom: after a loss of all power the core elects a leader a second late.
        Sequence: all hosts start together; an opening packet reaches a host that has no
        power yet and is dropped; the kernel sends it again after a second.
        Cause: the connection was waited for as long as on a calm day."""
        waited = []

        async def connect(address, timeout):
            waited.append(timeout)

        async def main():
            outbox = Outbox("127.0.0.1:1", lambda box: None)
            outbox.send(b"x")
            await outbox.attend()
            while len(waited) < 5:
                await curio.sleep(0.01)
            await outbox.cancel()

        with (
            mock.patch.object(_outbox, "connect", connect),
            mock.patch.object(_outbox, "_RETRY_MAX", 0.01),
        ):
            curio.run(main)
        self.assertEqual(waited[:5], [0.4, 0.8, 1.6, 2.0, 2.0])
