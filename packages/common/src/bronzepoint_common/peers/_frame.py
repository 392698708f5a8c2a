"""Encoding of control frames: version, keyed MAC, envelope.

The MAC proves that the sender has the cluster key. It covers the receiver's name, so a
frame that was recorded on one link can't be replayed to another host.
"""

import hashlib
import hmac

import msgspec

from bronzepoint_common.peers._errors import FrameRejected
from bronzepoint_schema.generated.peers import Envelope
from bronzepoint_schema.ids import HostName

PROTOCOL_VERSION = 2
"""Increased whenever a host of the previous version could misread a frame."""
MAC_BYTES = 16
_HEAD_BYTES = 1 + MAC_BYTES

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_frame(envelope: Envelope, key: bytes) -> bytes:
    """Return the frame of an envelope, authenticated with the cluster key."""
    body = _encoder.encode(envelope)
    return bytes([PROTOCOL_VERSION]) + _mac(body, key) + body


def decode_frame(frame: bytes, key: bytes, receiver: HostName) -> Envelope:
    """Return the envelope of a frame.

    Raises:
        FrameRejected: The frame has another version, a wrong MAC or another
            receiver, or isn't an envelope. The reason is one word, used in the name
            of a counter.
    """
    if len(frame) < _HEAD_BYTES:
        raise FrameRejected("truncated")
    if frame[0] != PROTOCOL_VERSION:
        raise FrameRejected("version")
    body = frame[_HEAD_BYTES:]
    if not hmac.compare_digest(frame[1:_HEAD_BYTES], _mac(body, key)):
        raise FrameRejected("mac")
    try:
        envelope = _decoder.decode(body)
    except msgspec.MsgspecError:
        raise FrameRejected("malformed") from None
    if envelope.receiver != receiver:
        raise FrameRejected("receiver")
    return envelope


def _mac(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
