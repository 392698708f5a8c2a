"""Bounds on what a voter keeps on its disk and in its memory."""

import os
from dataclasses import dataclass
from pathlib import Path

LOG_SHARE = 1 / 16
"""Share of the disk, and of the memory, that the bound on log records takes.

The file holds up to four times the bound: applied records, those that wait for a
quorum, those of which a follower doesn't know yet that they are durable, and superseded
ones. While it is rewritten, and a snapshot of up to twice the bound replaces the former
one, up to eleven times the bound are used.
"""
MAX_LOG_BYTES = 64 << 20
"""Largest bound by default, in bytes."""
STATE_FACTOR = 2
"""Bound on the state relative to that on log records."""


@dataclass(frozen=True)
class LogBounds:
    """Bounds in bytes.

    Attributes:
        records: Bytes of applied records after which a snapshot replaces them, bytes
            of changes that may wait for a quorum, and bytes of superseded records in
            the file.
    """

    records: int

    @property
    def kept(self) -> int:
        """Bytes of applied records that are kept for voters slightly behind."""
        return self.records // 2

    @property
    def state(self) -> int:
        """Bytes of the catalogue."""
        return STATE_FACTOR * self.records


def default_log_bytes(disk_bytes: float, memory_bytes: float) -> int:
    """Return the bound on log records for a machine.

    Args:
        disk_bytes: Size of its disk; 0: not known.
        memory_bytes: Its memory; 0: as the system says.
    """
    if not memory_bytes:
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    smaller = min(disk_bytes or memory_bytes, memory_bytes)
    return min(MAX_LOG_BYTES, int(LOG_SHARE * smaller))


def log_bounds(log_bytes: int, folder: Path) -> LogBounds:
    """Return the bounds of a voter.

    Args:
        log_bytes: Bound on log records in the settings; 0: by the machine.
        folder: The data folder.
    """
    if log_bytes:
        return LogBounds(log_bytes)
    folder.mkdir(parents=True, exist_ok=True)
    disk = os.statvfs(folder)
    return LogBounds(default_log_bytes(disk.f_blocks * disk.f_frsize, 0))
