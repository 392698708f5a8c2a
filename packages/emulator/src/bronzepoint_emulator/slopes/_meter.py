"""What one daemon of a deployment uses: processor time, memory, control bytes."""

import time
from pathlib import Path

from msgspec import Struct

from bronzepoint_emulator.deployment import Deployment

NANOSECONDS = 1e9
KIB = 1024


class Usage(Struct):
    """Use between two moments.

    Attributes:
        seconds: Time between them.
        processor: Seconds of processor time, all threads.
        memory: Bytes held at the end.
        sent: Bytes of control messages to other hosts.
        received: Bytes of control messages from other hosts.
        messages: Control messages, in and out.
    """

    seconds: float
    processor: float
    memory: int
    sent: int
    received: int
    messages: int

    def above(self, idle: "Usage") -> "Usage":
        """Return this use less what an idle host uses in the same time."""
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
    """Reads the use of one host.

    Args:
        deployment: Where it runs.
        host: Its name.
    """

    def __init__(self, deployment: Deployment, host: str) -> None:
        self.host = host
        self._operator = deployment.operator(host)
        self._pid = deployment.process(host).pid
        self._before = self._read()

    def begin(self) -> None:
        """Begin to measure."""
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
    """Return the seconds that all threads of a process have run so far.

    From schedstat, in nanoseconds: the ticks of /proc/PID/stat are too coarse for the
    few milliseconds that a quiet host uses.
    """
    total = 0
    for stat in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        try:
            total += int(stat.read_text().split()[0])
        except (FileNotFoundError, ProcessLookupError):
            continue
    return total / NANOSECONDS


def resident_memory(pid: int) -> int:
    """Return the bytes that a process holds in memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0
