"""Exchanges control messages between this host and its peers."""

import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
import msgspec
from curio.traps import _read_wait

from bronzepoint_common.background import keep_running
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers._area import Area
from bronzepoint_common.peers._calls import Calls, OnLateReply
from bronzepoint_common.peers._errors import (
    MessageUnencodable,
    PeerFailed,
    PeerTimeout,
    PeerUnknown,
)
from bronzepoint_common.peers._frame import decode_frame, encode_frame
from bronzepoint_common.peers._listener import Listener
from bronzepoint_common.peers._outbox import Outbox
from bronzepoint_schema.generated.peers import Envelope, FrameKind
from bronzepoint_schema.ids import HostName

Handler = Callable[[HostName, Any], Awaitable[Any | None]]
"""Handles a message of a sender; returns the reply to a call, otherwise None."""

_MAX_INBOX_FRAMES = 512
"""Maximum messages of one peer that are queued until they are handled."""
_RENEWAL_AGE = 0.5
"""Minimum age in seconds of a connection that is replaced because its peer has replaced
its own. With it, two hosts don't replace their connections in turn."""
_log = get_logger("peers")


@dataclass
class _Registration:
    decoder: msgspec.msgpack.Decoder
    handler: Handler


class Peers:
    """Sends and receives control messages; one task per peer handles its messages.

    Messages may be lost, delayed or duplicated. Each protocol that uses them must
    tolerate this.

    Args:
        name: Name of this host.
        listen: ``host:port`` to listen on.
        key: The cluster key.
        metrics: Counts messages, bytes and dropped frames.
        resolve: Returns the address of a peer for which `set_address` wasn't called,
            for hosts whose name contains their address; None: it is unknown.
    """

    def __init__(
        self,
        name: HostName,
        listen: str,
        key: bytes,
        metrics: Metrics,
        resolve: Callable[[HostName], str | None] | None = None,
    ) -> None:
        self._name = name
        self._key = key
        self._metrics = metrics
        self._resolve = resolve
        self._calls = Calls()
        self._encoder = msgspec.msgpack.Encoder()
        self._addresses: dict[HostName, str] = {}
        self._fixed: set[HostName] = set()
        self._outboxes: dict[HostName, Outbox] = {}
        self._inboxes: dict[HostName, curio.Queue] = {}
        self._registrations: dict[Area, _Registration] = {}
        self._tasks = curio.TaskGroup()
        self._listener = Listener(listen, self._accept, self._count_rejected)
        self._woken: list[Outbox] = []
        self._wake_fd = -1
        self._waiting_bytes = 0
        self._sent_names: dict[int, str] = {}

    async def start(self) -> None:
        """Listen for peers and prepare sending to them.

        Raises:
            OSError: The address can't be listened on.
        """
        await self._listener.start()
        # `post` isn't a coroutine, so it can't set a curio event; an eventfd wakes
        # the task instead.
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        await self._tasks.spawn(keep_running, self._resume_outboxes)
        for peer in self._addresses:
            self._add_outbox(peer)

    async def close(self) -> None:
        """Stop handling messages and close all connections."""
        await self._tasks.cancel_remaining()
        await self._listener.close()
        for outbox in self._outboxes.values():
            await outbox.cancel()
        self._outboxes.clear()
        if self._wake_fd >= 0:
            os.close(self._wake_fd)
            self._wake_fd = -1

    def set_address(self, peer: HostName, address: str, fixed: bool = False) -> None:
        """Set the address of a peer.

        Args:
            peer: The peer.
            address: Its ``host:port``.
            fixed: True for an address from the settings, which only another one from
                there replaces.
        """
        if peer == self._name or (peer in self._fixed and not fixed):
            return
        if fixed:
            self._fixed.add(peer)
        if self._addresses.get(peer) == address:
            return
        self._addresses[peer] = address
        stale = self._outboxes.pop(peer, None)
        if stale is not None:
            stale.close()
        if self._wake_fd >= 0:
            self._add_outbox(peer)

    def known_peers(self) -> list[HostName]:
        """Return the peers whose address is known."""
        return list(self._addresses)

    def register(self, area: Area, union: Any, handler: Handler) -> None:
        """Set the handler of the messages of an area, and their type."""
        decoder = msgspec.msgpack.Decoder(union)
        self._registrations[area] = _Registration(decoder, handler)

    def post(self, peer: HostName, area: Area, message: Any) -> bool:
        """Send a message without a reply.

        Returns:
            False if the peer is unknown, or the message can't be encoded.
        """
        payload = self._encode(area, message)
        if payload is None:
            return False
        return self._send_payload(peer, FrameKind.post, area, 0, payload)

    async def call(
        self,
        peer: HostName,
        area: Area,
        message: Any,
        timeout: float,
        on_late_reply: OnLateReply | None = None,
    ) -> Any:
        """Send a message and return the peer's reply.

        Args:
            peer: The peer.
            area: The subsystem that replies.
            message: The message.
            timeout: Seconds to wait for the reply.
            on_late_reply: Called with a reply that arrives later; None: it is dropped.

        Raises:
            PeerError: One of its subclasses; after PeerTimeout and PeerFailed the
                peer may have acted on the message.
        """
        if self._outbox(peer) is None:
            raise PeerUnknown(peer)
        payload = self._encode(area, message)
        if payload is None:
            raise MessageUnencodable(peer, type(message).__name__)
        began = monotonic()
        call_id = self._calls.begin(peer, on_late_reply)
        try:
            self._send_payload(peer, FrameKind.call, area, call_id, payload)
            async with curio.ignore_after(timeout):
                return self._decode_reply(await self._calls.wait(call_id))
            self._renew_connection(peer, began)
            raise PeerTimeout(peer, timeout)
        finally:
            self._calls.end(call_id)

    def _renew_connection(self, peer: HostName, opened_before: float) -> None:
        """Replace the connection to a peer, unless it is younger than that.

        An open connection may carry nothing any more without being reset. The kernel
        notices only after seconds, for each direction in turn.
        """
        outbox = self._outboxes.get(peer)
        if outbox is not None:
            outbox.renew(opened_before)

    def _decode_reply(self, envelope: Envelope) -> Any:
        if envelope.frame is FrameKind.failed:
            raise PeerFailed(envelope.sender, envelope.payload.decode())
        decoder = self._registrations[Area(envelope.area)].decoder
        try:
            return decoder.decode(envelope.payload)
        except msgspec.MsgspecError as exc:
            raise PeerFailed(envelope.sender, str(exc)) from exc

    def _encode(self, area: int, message: Any) -> bytes | None:
        """Return an encoded message, or None if it holds a value without an encoding.

        Such a value, as an integer of more than 64 bits, is an error of this host. It
        must not end the task that sends the message, which also sends others.
        """
        try:
            return self._encoder.encode(message)
        except Exception:
            self._metrics.incr("peers.unencodable")
            _log.exception(
                "message can't be encoded",
                area=_area_name(area),
                type=type(message).__name__,
            )
            return None

    def _send_payload(
        self, peer: HostName, frame: FrameKind, area: int, call_id: int, payload: bytes
    ) -> bool:
        outbox = self._outbox(peer)
        if outbox is None:
            self._metrics.incr("peers.unknown")
            return False
        number = int(area)
        envelope = Envelope(self._name, peer, frame, number, call_id, payload)
        data = encode_frame(envelope, self._key)
        if not outbox.send(data):
            self._metrics.incr("peers.queue_full")
        self._report_waiting(outbox)
        self._metrics.incr("peers.sent")
        self._metrics.incr("peers.sent_bytes", len(data))
        name = self._sent_names.get(number)
        if name is None:
            name = f"peers.sent_bytes.{_area_name(number)}"
            self._sent_names[number] = name
        self._metrics.incr(name, len(data))
        return True

    def _report_waiting(self, outbox: Outbox) -> None:
        """Update the metrics of data that is queued for slow peers."""
        waiting = outbox.waiting_bytes
        if waiting or self._waiting_bytes:
            boxes = self._outboxes.values()
            self._waiting_bytes = sum(box.waiting_bytes for box in boxes)
            self._metrics.gauge("peers.waiting_bytes", self._waiting_bytes)
            if waiting:
                self._metrics.incr("peers.waited")

    def _outbox(self, peer: HostName) -> Outbox | None:
        outbox = self._outboxes.get(peer)
        if outbox is None and self._resolve is not None and self._wake_fd >= 0:
            address = self._resolve(peer)
            if address is not None:
                self.set_address(peer, address)
                outbox = self._outboxes.get(peer)
        return outbox

    def _add_outbox(self, peer: HostName) -> None:
        self._outboxes[peer] = Outbox(self._addresses[peer], self._wake)

    def _wake(self, outbox: Outbox) -> None:
        self._woken.append(outbox)
        if self._wake_fd >= 0:
            os.eventfd_write(self._wake_fd, 1)

    async def _resume_outboxes(self) -> None:
        while True:
            await _read_wait(self._wake_fd)
            os.eventfd_read(self._wake_fd)
            woken, self._woken = self._woken, []
            for outbox in woken:
                await outbox.resume()

    def _count_rejected(self, reason: str) -> None:
        self._metrics.incr(f"peers.rejected.{reason}")

    async def _accept(self, data: bytes, is_first: bool) -> None:
        self._metrics.incr("peers.received")
        self._metrics.incr("peers.received_bytes", len(data))
        envelope = decode_frame(data, self._key, self._name)
        if is_first and envelope.frame is FrameKind.call:
            # The peer may have replaced a silent connection; then the one for the
            # replies is likely to be silent, too.
            self._renew_connection(envelope.sender, monotonic() - _RENEWAL_AGE)
        if envelope.frame in (FrameKind.reply, FrameKind.failed):
            if not await self._calls.resolve(envelope):
                self._handle_late_reply(envelope)
            return
        inbox = self._inboxes.get(envelope.sender)
        if inbox is None:
            inbox = curio.Queue()
            self._inboxes[envelope.sender] = inbox
            await self._tasks.spawn(keep_running, self._serve, inbox)
        # A peer that sends faster than this host handles messages must not fill its
        # memory. The protocols tolerate the loss like one on the network.
        if inbox.qsize() >= _MAX_INBOX_FRAMES:
            self._metrics.incr("peers.inbox_full")
            return
        await inbox.put(envelope)

    def _handle_late_reply(self, envelope: Envelope) -> None:
        """Count a late reply, and pass it to the `on_late_reply` function of its call.

        If it were dropped, a reply that always takes longer than its timeout would be
        requested endlessly, and use the same bandwidth each time.
        """
        self._metrics.incr("peers.late_reply")
        self._metrics.incr("peers.late_reply_bytes", len(envelope.payload))
        call = self._calls.pop_abandoned(envelope)
        _log.warning(
            "late answer",
            sender=envelope.sender,
            area=_area_name(envelope.area),
            bytes=len(envelope.payload),
            seconds=round(monotonic() - call.began, 3) if call else None,
        )
        if call is None or call.on_late_reply is None:
            return
        try:
            call.on_late_reply(self._decode_reply(envelope))
        except PeerFailed as exc:
            _log.warning("late answer not used", reason=str(exc))

    async def _serve(self, inbox: curio.Queue) -> None:
        while True:
            envelope = await inbox.get()
            await self._handle(envelope)

    async def _handle(self, envelope: Envelope) -> None:
        registration = self._registrations.get(envelope.area)
        if registration is None:
            self._metrics.incr("peers.rejected.area")
            return
        try:
            message = registration.decoder.decode(envelope.payload)
        except msgspec.MsgspecError as exc:
            self._metrics.incr("peers.rejected.message")
            self._fail(envelope, f"message can't be decoded: {exc}")
            return
        try:
            reply = await registration.handler(envelope.sender, message)
        except Exception as exc:
            # One bad message must not end the task that serves this peer: the host
            # would seem to be live but never answer that peer again.
            self._metrics.incr("peers.handler_failed")
            _log.exception("handler failed", sender=envelope.sender, area=envelope.area)
            self._fail(envelope, f"{type(exc).__name__}: {exc}")
            return
        if envelope.frame is FrameKind.call and reply is not None:
            self._reply(envelope, reply)

    def _reply(self, envelope: Envelope, reply: Any) -> None:
        payload = self._encode(envelope.area, reply)
        if payload is None:
            self._fail(envelope, "reply can't be encoded")
            return
        self._send_payload(
            envelope.sender,
            FrameKind.reply,
            envelope.area,
            envelope.call_id,
            payload,
        )

    def _fail(self, envelope: Envelope, reason: str) -> None:
        if envelope.frame is not FrameKind.call:
            return
        self._send_payload(
            envelope.sender,
            FrameKind.failed,
            envelope.area,
            envelope.call_id,
            reason.encode(),
        )


def _area_name(area: int) -> str:
    """Return the name of a subsystem, or its number if a newer version has added it."""
    try:
        return Area(area).name.lower()
    except ValueError:
        return str(area)
