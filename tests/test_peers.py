"""Control messages between hosts: exchange, rejection, and loss."""

import errno
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
    MessageUnencodable,
    PeerFailed,
    Peers,
    PeerTimeout,
    PeerUnknown,
    _outbox,
    _stream,
)
from bronzepoint_common.peers._frame import decode_frame, encode_frame
from bronzepoint_common.peers._outbox import Outbox
from bronzepoint_schema.generated.peers import Envelope, FrameKind
from bronzepoint_schema.ids import HostName
from tests._addresses import free_address

KEY = b"k" * 32
A = HostName("a")
B = HostName("b")
MAX_WAIT = 30.0
"""Seconds after which a call or an expected message counts as lost."""
PEERS = 79
CONTROL_MEMORY = 64e6
"""Bytes of memory that a host may use for control messages."""


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

    def test_rejects_a_frame_for_another_host(self):
        """Guards against a host that acts on a message to another host.

        A frame from A to B is recorded on the network and sent to C. If the MAC
        didn't cover the receiver, each host would accept it.
        """
        frame = encode_frame(envelope(), KEY)
        with self.assertRaises(FrameRejected) as caught:
            decode_frame(frame, KEY, HostName("c"))
        self.assertEqual(caught.exception.reason, "receiver")


async def run_pair(use):
    """Start two hosts that know each other and pass them to ``use``."""
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
            reply = await a.call(B, Area.AGREEMENT, Ping("hello"), MAX_WAIT)
            self.assertEqual(reply, Pong("a:hello"))

        curio.run(run_pair, use)

    def test_messages_of_one_peer_keep_their_order(self):
        received = []
        count = 100

        async def receive(sender, message):
            received.append(message.number)

        async def use(a, b):
            b.register(Area.MEMBERSHIP, Burst, receive)
            for number in range(count):
                while not a.post(B, Area.MEMBERSHIP, Burst(number)):
                    await curio.sleep(0.01)
            async with curio.timeout_after(MAX_WAIT):
                while len(received) < count:
                    await curio.sleep(0.01)
            self.assertEqual(received, list(range(count)))

        curio.run(run_pair, use)

    def test_a_failing_handler_is_reported_and_later_calls_are_answered(self):
        """Guards against a host that seems to be live but never answers one peer again.

        A message makes the handler raise, and the error ends the task that serves this
        peer.
        """

        async def answer(sender, message):
            if message.text == "bad":
                raise ValueError("no")
            return Pong(message.text)

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Pong, answer)
            with self.assertRaises(PeerFailed):
                await a.call(B, Area.AGREEMENT, Ping("bad"), MAX_WAIT)
            reply = await a.call(B, Area.AGREEMENT, Ping("good"), MAX_WAIT)
            self.assertEqual(reply, Pong("good"))

        curio.run(run_pair, use)

    def test_unencodable_reply_ends_no_service(self):
        """Guards against a host that never answers a peer again after such a reply."""

        async def answer(sender, message):
            return Burst(2**64 if message.text == "bad" else 1)

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Burst, answer)
            with self.assertRaises(PeerFailed):
                await a.call(B, Area.AGREEMENT, Ping("bad"), MAX_WAIT)
            reply = await a.call(B, Area.AGREEMENT, Ping("good"), MAX_WAIT)
            self.assertEqual(reply, Burst(1))
            self.assertEqual(b._metrics.counters()["peers.unencodable"], 1)

        curio.run(run_pair, use)

    def test_unencodable_message_does_not_end_its_sender(self):
        """Guards against a task whose further messages are lost with one of them."""

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Burst, None)
            self.assertFalse(a.post(B, Area.AGREEMENT, Burst(2**64)))
            with self.assertRaises(MessageUnencodable):
                await a.call(B, Area.AGREEMENT, Burst(2**64), MAX_WAIT)
            self.assertEqual(a._metrics.counters()["peers.unencodable"], 2)

        curio.run(run_pair, use)

    def test_lack_of_descriptors_does_not_end_the_sending(self):
        """Guards against a host that is cut off for good once descriptors run out."""
        received = []

        async def note(sender, message):
            received.append(message.text)

        async def use(a, b):
            b.register(Area.AGREEMENT, Ping, note)
            error = OSError(errno.EMFILE, "too many open files")
            with mock.patch.object(_stream.socket, "socket", side_effect=error):
                a.post(B, Area.AGREEMENT, Ping("first"))
                await curio.sleep(0.2)
            async with curio.ignore_after(MAX_WAIT):
                while not received:
                    await curio.sleep(0.01)
            self.assertEqual(received, ["first"])

        curio.run(run_pair, use)

    def test_unknown_peer(self):
        async def use(a, b):
            self.assertFalse(a.post(HostName("c"), Area.AGREEMENT, Ping("x")))
            with self.assertRaises(PeerUnknown):
                await a.call(HostName("c"), Area.AGREEMENT, Ping("x"), MAX_WAIT)

        curio.run(run_pair, use)

    def test_a_call_without_a_reply_times_out(self):
        async def ignore(sender, message):
            return None

        async def use(a, b):
            b.register(Area.AGREEMENT, Ping | Pong, ignore)
            a.register(Area.AGREEMENT, Ping | Pong, ignore)
            with self.assertRaises(PeerTimeout):
                await a.call(B, Area.AGREEMENT, Ping("x"), 0.05)

        curio.run(run_pair, use)

    def test_late_answers_are_counted_with_their_bytes(self):
        """Guards against late answers that use bandwidth without being reported.

        The answer to an abandoned call uses the link for nothing; its size and delay
        were neither logged nor counted.
        """
        timed_out = curio.Event()

        async def answer(sender, message):
            await timed_out.wait()
            return Pong("x" * 1000)

        async def use(a, b):
            for host in (a, b):
                host.register(Area.AGREEMENT, Ping | Pong, answer)
            with self.assertRaises(PeerTimeout):
                await a.call(B, Area.AGREEMENT, Ping("x"), 0.05)
            with LogCapture() as lines:
                await timed_out.set()
                async with curio.timeout_after(MAX_WAIT):
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
        """Guards against messages that aren't sent to the configured address of a peer.

        The settings contain an address and gossip then reports another one, which
        replaces it.
        """
        host = Peers(A, free_address(), KEY, Metrics())
        host.set_address(B, "127.0.0.1:1", fixed=True)
        host.set_address(B, "127.0.0.1:2")
        self.assertEqual(host._addresses[B], "127.0.0.1:1")


class TestOutbox(unittest.TestCase):
    def test_queues_of_slow_peers_are_bounded_in_bytes(self):
        """Guards against hosts of the core that run out of memory after a power loss.

        70 starting hosts requested the catalogue from each of three hosts several times
        a second, over links that needed half a second for one answer of 300 KB. With
        128 frames queued for each peer, whatever their size, the three hosts grew by
        40 MB a second to 296 MB and were killed repeatedly.
        """
        boxes = [Outbox("127.0.0.1:1", lambda _: None) for _ in range(PEERS)]
        frame = bytes(300_000)
        for box in boxes:
            for _ in range(10):
                box.send(frame)
        self.assertLess(sum(box.waiting_bytes for box in boxes), CONTROL_MEMORY)
        self.assertTrue(all(box.waiting_bytes >= len(frame) for box in boxes))

    def test_first_attempts_to_connect_have_short_timeouts(self):
        """Guards against an election that is delayed by a second after a power loss.

        All hosts start together. A SYN packet to a host that is still booting is
        dropped, and the kernel resends it only after a second; with the normal timeout,
        the connection waits for that.
        """
        timeouts = []

        async def connect(address, timeout):
            timeouts.append(timeout)

        async def main():
            outbox = Outbox("127.0.0.1:1", lambda box: None)
            outbox.send(b"x")
            await outbox.resume()
            while len(timeouts) < 5:
                await curio.sleep(0.01)
            await outbox.cancel()

        with (
            mock.patch.object(_outbox, "connect", connect),
            mock.patch.object(_outbox, "_RETRY_MAX", 0.01),
        ):
            curio.run(main)
        self.assertEqual(timeouts[:5], [0.4, 0.8, 1.6, 2.0, 2.0])

    def test_attempts_to_connect_end(self):
        """Guards against attempts without end after one message to a host that is gone
        for good; a later message must still be sent."""
        attempts = []

        async def connect(address, timeout):
            attempts.append(timeout)

        async def main():
            outbox = Outbox("127.0.0.1:1", lambda box: None)
            counts = []
            for _ in range(2):
                outbox.send(b"x")
                await outbox.resume()
                async with curio.ignore_after(MAX_WAIT):
                    while outbox.waiting_bytes:
                        await curio.sleep(0.01)
                ended = len(attempts)
                await curio.sleep(0.2)
                counts.append(len(attempts) - ended)
                attempts.append(None)
            await outbox.cancel()
            return counts

        with (
            mock.patch.object(_outbox, "connect", connect),
            mock.patch.object(_outbox, "_RETRY_MAX", 0.01),
            mock.patch.object(_outbox, "_MAX_CONNECT_TIME", 0.1),
        ):
            self.assertEqual(curio.run(main), [0, 0])
        self.assertGreater(attempts.index(None), 1)
        self.assertGreater(len(attempts) - attempts.index(None), 2)
