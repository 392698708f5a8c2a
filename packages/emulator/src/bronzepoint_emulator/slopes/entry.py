"""Slopes of a host's request path: connections, requests and streamed events.

Run with ``python -m bronzepoint_emulator.slopes.entry``; prints one JSON line for each
point. One real daemon, one engine, and as many callers as the point says.
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
STREAM_COUNTS = (16, 32, 64, 128, 256)
REQUESTS = 100
TOKENS = 100
IDLE_SECONDS = 3.0
MICRO = 1e6
MEGABYTE = 1e6


class Point(Struct):
    """One point of one slope.

    Attributes:
        slope: What the cost is taken against.
        count: How many of it there were.
        cost_us: Processor time (µs) for each request, or event; 0: not measured.
        memory_mb: Memory of the host at that moment.
        busy: Share of a core used.
        failed: Requests that were not answered.
    """

    slope: str
    count: int
    cost_us: float
    memory_mb: float
    busy: float
    failed: int = 0


def measure() -> list[Point]:
    """Measure all points, connections and calls each on a fresh daemon.

    Memory that one slope has freed is used again by the next, and would hide it.
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
    each = min(point.cost_us for point in points[1:])
    points += [_streams(address, pid, idle, each, count) for count in STREAM_COUNTS]
    return points


def _idle_share(pid: int) -> float:
    used = processor_time(pid)
    time.sleep(IDLE_SECONDS)
    return (processor_time(pid) - used) / IDLE_SECONDS


def _requests(address: str, pid: int, idle: float, callers: int) -> Point:
    load = Load(SHORT, callers, REQUESTS, 1, stream=False)
    began, used = time.monotonic(), processor_time(pid)
    seen = drive(address, TOKEN, load)
    elapsed = time.monotonic() - began
    spent = processor_time(pid) - used - idle * elapsed
    cost = spent / len(seen.whole) * MICRO
    return Point(
        "requests at once", callers, cost, _memory(pid), spent / elapsed, seen.failed
    )


def _streams(address: str, pid: int, idle: float, each: float, count: int) -> Point:
    load = Load(STREAMS, count, 1, TOKENS, stream=True)
    began, used = time.monotonic(), processor_time(pid)
    seen = drive(address, TOKEN, load)
    elapsed = time.monotonic() - began
    spent = processor_time(pid) - used - idle * elapsed
    cost = (spent * MICRO - each * len(seen.whole)) / seen.events
    return Point("streams", count, cost, _memory(pid), spent / elapsed, seen.failed)


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
    """Measure and print."""
    for point in measure():
        print(msgspec.json.encode(point).decode())


if __name__ == "__main__":
    main()
