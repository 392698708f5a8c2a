"""Heartbeats: the few bytes per host that change in every gossip round."""

import struct
from collections.abc import Iterable
from enum import IntFlag
from typing import NamedTuple

import xxhash

from bronzepoint_schema.ids import HostName

_PACKED = struct.Struct("<IIHBB")
REVISION_BITS = 16
"""Low bits of a catalogue revision that a heartbeat contains."""
_REVISION_MASK = (1 << REVISION_BITS) - 1
_LOAD_STEPS = 100
"""Encoded value of a load of 1.0; loads are sent in hundredths."""
_MAX_LOAD = 255
"""Maximum encoded load, in hundredths."""

HostId = int
"""32-bit identifier of one incarnation of one host."""


class HeartbeatFlag(IntFlag):
    """Flags that a host sets in its heartbeats."""

    NONE = 0
    DRAINING = 1
    LEFT = 2
    RUN_ONCE_READY = 4


_FLAGS = [HeartbeatFlag(bits) for bits in range(8)]


class Heartbeat(NamedTuple):
    """Heartbeat of one host, 12 bytes on the wire.

    Attributes:
        counter: Heartbeats since the host started; a higher one replaces a lower one.
        revision: Low 16 bits of the host's catalogue revision.
        load: Load in hundredths, at most 255.
    """

    host_id: HostId
    counter: int
    revision: int
    load: int
    flags: HeartbeatFlag

    @property
    def load_share(self) -> float:
        """Load as a fraction of the host's capacity."""
        return self.load / _LOAD_STEPS


def make_heartbeat(
    host_id: HostId, counter: int, revision: int, load: float, flags: HeartbeatFlag
) -> Heartbeat:
    """Return a heartbeat, with its numbers limited to their size on the wire."""
    hundredths = min(_MAX_LOAD, max(0, round(load * _LOAD_STEPS)))
    return Heartbeat(host_id, counter, revision & _REVISION_MASK, hundredths, flags)


def make_host_id(name: HostName, incarnation: int) -> HostId:
    """Return the identifier of one incarnation of a host."""
    return xxhash.xxh32_intdigest(f"{name}\0{incarnation}".encode())


def pack_heartbeats(heartbeats: Iterable[Heartbeat]) -> bytes:
    """Return the heartbeats as packed bytes."""
    return b"".join(_PACKED.pack(*heartbeat) for heartbeat in heartbeats)


def unpack_heartbeats(data: bytes) -> list[Heartbeat]:
    """Return the heartbeats in packed bytes.

    Raises:
        ValueError: The length is not a multiple of a heartbeat's size.
    """
    if len(data) % _PACKED.size:
        raise ValueError(
            "packed heartbeats are truncated; the sender runs another version"
        )
    return [
        Heartbeat(host_id, counter, revision, load, _FLAGS[flags % len(_FLAGS)])
        for host_id, counter, revision, load, flags in _PACKED.iter_unpack(data)
    ]


def expand_revision(low: int, near: int) -> int:
    """Return the full revision for the low bits in a heartbeat.

    Args:
        low: Low bits of the revision.
        near: A revision that differs by less than 32,768, such as this host's own.
    """
    span = _REVISION_MASK + 1
    distance = (low - near) & _REVISION_MASK
    if distance >= span // 2:
        distance -= span
    return max(0, near + distance)
