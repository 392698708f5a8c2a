"""``python -m bronzepoint_emulator.slopes.entry``: cost of a host's request path.

Prints one JSON line per point: idle connections, concurrent requests and streams. They
are measured on one real daemon with stub engines.
"""

import time
from collections.abc import Callable

import curio
import msgspec
from msgspec import Struct

from bronzepoint_common.http import parse_address
from bronzepoint_emulator.bench._layout import SHORT, STREAMS, TOKEN, overhead_layout
from bronzepoint_emulator.bench._load import Load, drive
from bronzepoint_emulator.bench._processor_time import (
    processor_time,
    resident_memory,
)
from bronzepoint_emulator.deployment import Deployment

HOST = "one-1"
CONNECTIONS = (200, 400, 800, 1600)
CALLERS = (2, 4, 8, 16)
"""Numbers of concurrent callers."""
STREAM_COUNTS = (16, 32, 64, 128, 256)
REQUESTS = 100
"""Number of requests per caller."""
TOKENS = 100
"""Number of tokens per stream."""
IDLE_SECONDS = 3.0
MICRO = 1e6
MEGABYTE = 1e6


class Point(Struct):
    """Measurement at one size.

    Attributes:
        slope: Name of the varied size.
        count: Value of the varied size.
        cost_us: Processor time (µs) per request or event; 0 if not measured.
        memory_mb: Resident memory of the host (MB).
        busy: Share of a core used.
        failed: Requests without an answer.
    """

    slope: str
    count: int
    cost_us: float
    memory_mb: float
    busy: float
    failed: int = 0


def measure() -> list[Point]:
    """Measure all points, with a new daemon for connections and for calls.

    On the same daemon, calls would reuse the memory freed by connections, which would
    hide their own use.
    """
    return _on_fresh_host(_connection_points) + _on_fresh_host(_call_points)


def _on_fresh_host(points: Callable[[str, int], list[Point]]) -> list[Point]:
    with Deployment(overhead_layout()) as deployment:
        address = deployment.address(HOST)
        drive(address, TOKEN, Load(SHORT, 8, 50, 1, stream=False))
        return points(address, deployment.process(HOST).pid)


def _connection_points(address: str, pid: int) -> list[Point]:
    return [_connections(address, pid, count) for count in CONNECTIONS]


def _call_points(address: str, pid: int) -> list[Point]:
    idle = _idle_share(pid)
    points = [Point("idle", 0, 0.0, _memory(pid), idle)]
    points += [_requests(address, pid, idle, count) for count in CALLERS]
    request_us = min(point.cost_us for point in points[1:])
    points += [
        _streams(address, pid, idle, request_us, count) for count in STREAM_COUNTS
    ]
    return points


def _idle_share(pid: int) -> float:
    used = processor_time(pid)
    time.sleep(IDLE_SECONDS)
    return (processor_time(pid) - used) / IDLE_SECONDS


def _requests(address: str, pid: int, idle: float, callers: int) -> Point:
    load = Load(SHORT, callers, REQUESTS, 1, stream=False)
    began, used = time.monotonic(), processor_time(pid)
    observed = drive(address, TOKEN, load)
    elapsed = time.monotonic() - began
    spent = processor_time(pid) - used - idle * elapsed
    cost = spent / len(observed.whole) * MICRO
    return Point(
        "requests at once",
        callers,
        cost,
        _memory(pid),
        spent / elapsed,
        observed.failed,
    )


def _streams(
    address: str, pid: int, idle: float, request_us: float, count: int
) -> Point:
    load = Load(STREAMS, count, 1, TOKENS, stream=True)
    began, used = time.monotonic(), processor_time(pid)
    observed = drive(address, TOKEN, load)
    elapsed = time.monotonic() - began
    spent = processor_time(pid) - used - idle * elapsed
    cost = (spent * MICRO - request_us * len(observed.whole)) / observed.events
    return Point("streams", count, cost, _memory(pid), spent / elapsed, observed.failed)


def _connections(address: str, pid: int, count: int) -> Point:
    memory, share = curio.run(_hold_connections, address, pid, count)
    return Point("idle connections", count, 0.0, memory, share)


async def _hold_connections(address: str, pid: int, count: int) -> tuple[float, float]:
    target = parse_address(address)
    request = b"GET /v1/health HTTP/1.1\r\nHost: x\r\n\r\n"
    socks = [await curio.open_connection(*target) for _ in range(count)]
    for sock in socks:
        await sock.sendall(request)
    for sock in socks:
        await sock.recv(65536)
    share = await curio.run_in_thread(_idle_share, pid)
    memory = _memory(pid)
    for sock in socks:
        await sock.close()
    return memory, share


def _memory(pid: int) -> float:
    return resident_memory(pid) / MEGABYTE


def main() -> None:
    """Measure and print all points."""
    for point in measure():
        print(msgspec.json.encode(point).decode())


if __name__ == "__main__":
    main()
