"""Processor time and memory of another process."""

import os
from pathlib import Path

_TICKS = os.sysconf("SC_CLK_TCK")
_USER = 11
_SYSTEM = 12
"""Positions of utime and stime after the command's closing bracket; see proc(5)."""


def processor_time(pid: int) -> float:
    """Return the seconds of processor time of all threads of a process."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICKS


def resident_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
