"""Measures a daemon's processor time, memory and control messages."""

import time
from pathlib import Path

from msgspec import Struct

from bronzepoint_emulator.deployment import Deployment

NANOSECONDS = 1e9
KIB = 1024


class Usage(Struct):
    """Resource use over an interval.

    Attributes:
        seconds: Length of the interval.
        processor: Seconds of processor time of all threads.
        memory: Bytes of resident memory at the end.
        sent: Bytes of control messages to other hosts.
        received: Bytes of control messages from other hosts.
        messages: Control messages sent and received.
    """

    seconds: float
    processor: float
    memory: int
    sent: int
    received: int
    messages: int

    def minus_idle(self, idle: "Usage") -> "Usage":
        """Return this use minus that of an idle host over the same time."""
        share = self.seconds / idle.seconds
        return Usage(
            self.seconds,
            self.processor - idle.processor * share,
            self.memory,
            self.sent - round(idle.sent * share),
            self.received - round(idle.received * share),
            self.messages - round(idle.messages * share),
        )


class HostMeter:
    """Measures the resource use of one host.

    Args:
        deployment: Deployment of the host.
        host: Name of the host.
    """

    def __init__(self, deployment: Deployment, host: str) -> None:
        self.host = host
        self._operator = deployment.operator(host)
        self._pid = deployment.process(host).pid
        self._before = self._read()

    def begin(self) -> None:
        """Start an interval."""
        self._before = self._read()

    def end(self) -> Usage:
        """Return the use since ``begin``."""
        before, after = self._before, self._read()
        return Usage(
            after.seconds - before.seconds,
            after.processor - before.processor,
            after.memory,
            after.sent - before.sent,
            after.received - before.received,
            after.messages - before.messages,
        )

    def _read(self) -> Usage:
        counters = self._operator.counters()["counters"]
        return Usage(
            time.monotonic(),
            processor_time(self._pid),
            resident_memory(self._pid),
            counters.get("peers.sent_bytes", 0),
            counters.get("peers.received_bytes", 0),
            counters.get("peers.sent", 0) + counters.get("peers.received", 0),
        )


def processor_time(pid: int) -> float:
    """Return the seconds of processor time of all threads of a process.

    It is read from schedstat in nanoseconds, since the ticks of /proc/PID/stat are too
    coarse for the few milliseconds that an idle host uses.
    """
    total = 0
    for stat in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        try:
            total += int(stat.read_text().split()[0])
        except (FileNotFoundError, ProcessLookupError):
            continue
    return total / NANOSECONDS


def resident_memory(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0
