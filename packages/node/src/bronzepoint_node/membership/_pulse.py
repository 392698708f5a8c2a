"""Pulses: the few bytes of each host that change with every round of gossip."""

import struct
from collections.abc import Iterable
from enum import IntFlag
from typing import NamedTuple

import xxhash

from bronzepoint_schema.ids import HostName

_PACKED = struct.Struct("<IIHBB")
REVISION_BITS = 16
_REVISION_MASK = (1 << REVISION_BITS) - 1
_LOAD_STEPS = 100
_MAX_LOAD = 255

HostId = int
"""32 bits that stand for one incarnation of one host."""


class PulseFlag(IntFlag):
    """What a host says about itself beside its numbers."""

    NONE = 0
    DRAINING = 1
    LEFT = 2
    RUN_ONCE_READY = 4


_FLAGS = [PulseFlag(bits) for bits in range(8)]


class Pulse(NamedTuple):
    """What one host said last, 12 bytes on the wire.

    Attributes:
        counter: heartbeats since the host started; a higher one supersedes.
        revision: low 16 bits of its catalogue revision.
        load: its load in hundredths, 255 and above as 255.
    """

    host_id: HostId
    counter: int
    revision: int
    load: int
    flags: PulseFlag

    @property
    def load_share(self) -> float:
        """The load as a share of what the host can take."""
        return self.load / _LOAD_STEPS


def make_pulse(
    host_id: HostId, counter: int, revision: int, load: float, flags: PulseFlag
) -> Pulse:
    """Return a pulse, with its numbers cut to what fits the wire."""
    hundredths = min(_MAX_LOAD, max(0, round(load * _LOAD_STEPS)))
    return Pulse(host_id, counter, revision & _REVISION_MASK, hundredths, flags)


def make_host_id(name: HostName, incarnation: int) -> HostId:
    """Return the identifier of one incarnation of a host."""
    return xxhash.xxh32_intdigest(f"{name}\0{incarnation}".encode())


def pack_pulses(pulses: Iterable[Pulse]) -> bytes:
    """Return the pulses, packed one after another."""
    return b"".join(_PACKED.pack(*pulse) for pulse in pulses)


def unpack_pulses(data: bytes) -> list[Pulse]:
    """Return the packed pulses.

    Raises:
        ValueError: The length is not a whole number of pulses.
    """
    if len(data) % _PACKED.size:
        raise ValueError("pulses are cut short; the sender runs another version")
    return [
        Pulse(host_id, counter, revision, load, _FLAGS[flags % len(_FLAGS)])
        for host_id, counter, revision, load, flags in _PACKED.iter_unpack(data)
    ]


def expand_revision(low: int, near: int) -> int:
    """Return the whole revision whose low bits a pulse carried.

    Args:
        low: The low bits.
        near: A revision less than 32,768 away from it, such as this host's own.
    """
    span = _REVISION_MASK + 1
    distance = (low - near) & _REVISION_MASK
    if distance >= span // 2:
        distance -= span
    return max(0, near + distance)
