"""``python -m bronzepoint_emulator.slopes.run_once``: cost of run-once records.

Each row runs in a separate process with all hosts of one region and real sockets
between them, so the processor time covers the claiming host and all copies. Varied:
hosts in the region, stored records, concurrent claims with and without disks, bytes of
the stored answer, and records that a host without stored state reads back.
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio
import msgspec
import uuid_utils
from msgspec import Struct

from bronzepoint_emulator.slopes._meter import resident_memory
from bronzepoint_emulator.slopes._run_once_region import POLL, RunOnceRegion
from bronzepoint_node.run_once import Claimed, StoredAnswer
from bronzepoint_schema.ids import HostName, IdempotencyKey, RequestId

HOSTS = [3, 6, 12, 30]
HELD = [0, 3_000, 10_000, 30_000]
"""Numbers of stored records."""
AT_ONCE = [1, 4, 16, 64]
"""Numbers of concurrent claims."""
ANSWER_BYTES = [0, 256, 1024, 4096, 16384]
READ_BACK = [300, 1_000, 3_000, 10_000]
"""Numbers of records that a host reads back."""
CALLS = 1_000
"""Number of measured calls."""
FILL_CONCURRENCY = 32
"""Concurrent calls while filling the store."""
DIGEST = bytes(32)
TYPICAL_ANSWER = 256
"""Bytes of an answer where its size is not varied."""


class Plan(Struct):
    """Name and value of the varied size."""

    slope: str
    value: int


class Row(Struct):
    """Figures of one row; per claim with its outcome unless stated otherwise.

    Attributes:
        slope: Name of the varied size.
        value: Value of the varied size.
        p50_ms: Median duration (ms).
        p99_ms: 99th percentile of the duration (ms).
        processor_us: Processor time of all hosts (µs).
        messages: Messages between hosts.
        bytes: Bytes of these messages.
        syncs: Disk syncs of all hosts.
        register_bytes: Memory per register and copy; 0 if not measured.
        read_seconds: Time for a host without stored state to read its registers back.
        read_bytes: Bytes that it read.
    """

    slope: str
    value: int
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    processor_us: float = 0.0
    messages: float = 0.0
    bytes: float = 0.0
    syncs: float = 0.0
    register_bytes: float = 0.0
    read_seconds: float = 0.0
    read_bytes: int = 0


async def call_once(region: RunOnceRegion, host: HostName, size: int) -> float:
    """Claim a new key, record an answer and return the duration (s)."""
    run_once = region.hosts[host]
    key = IdempotencyKey(str(uuid_utils.uuid7()))
    began = time.perf_counter()
    result = await run_once.claim(key, DIGEST, RequestId(f"{host}.{key}"))
    if not isinstance(result, Claimed):
        raise RuntimeError(f"expected a claim, got {result}")
    await run_once.finish(result.token, StoredAnswer(200, bytes(size)))
    return time.perf_counter() - began


async def call_many(
    region: RunOnceRegion, calls: int, at_once: int, size: int
) -> list[float]:
    """Make concurrent calls round robin over all hosts; return sorted durations."""
    numbers = iter(range(calls))
    times: list[float] = []

    async def work() -> None:
        for number in numbers:
            host = region.names[number % len(region.names)]
            times.append(await call_once(region, host, size))

    async with curio.TaskGroup() as group:
        for _ in range(at_once):
            await group.spawn(work)
    return sorted(times)


async def measure_calls(
    region: RunOnceRegion, plan: Plan, at_once: int, size: int
) -> Row:
    """Make calls and return the cost of one."""
    await call_many(region, len(region.names) * 3, at_once, size)
    names = ["peers.sent", "peers.sent_bytes", "run_once.log.syncs"]
    before = [region.counter(name) for name in names]
    processor = time.process_time()
    times = await call_many(region, CALLS, at_once, size)
    processor = time.process_time() - processor
    growth = [
        (region.counter(name) - count) / CALLS
        for name, count in zip(names, before, strict=True)
    ]
    return Row(
        plan.slope,
        plan.value,
        p50_ms=times[len(times) // 2] * 1e3,
        p99_ms=times[len(times) * 99 // 100] * 1e3,
        processor_us=processor / CALLS * 1e6,
        messages=growth[0],
        bytes=growth[1],
        syncs=growth[2],
    )


async def measure_held(plan: Plan) -> Row:
    """Return the cost of a call with stored records on each host."""
    region = await RunOnceRegion(3).start()
    before = resident_memory(_own_pid())
    await call_many(region, plan.value, FILL_CONCURRENCY, TYPICAL_ANSWER)
    growth = resident_memory(_own_pid()) - before
    row = await measure_calls(region, plan, 1, TYPICAL_ANSWER)
    if plan.value:
        row.register_bytes = growth / (3 * plan.value)
    await region.close()
    return row


async def measure_read_back(plan: Plan) -> Row:
    """Return the time for a restarted host to read back its lost registers."""
    region = await RunOnceRegion(3).start()
    await call_many(region, plan.value, FILL_CONCURRENCY, TYPICAL_ANSWER)
    restarted = region.names[0]
    await region.stop_host(restarted)
    sent = region.counter("peers.sent_bytes")
    began = time.perf_counter()
    await region.start_host(restarted)
    while not region.hosts[restarted].recovered:
        await curio.sleep(POLL)
    row = Row(plan.slope, plan.value, read_seconds=time.perf_counter() - began)
    row.read_bytes = region.counter("peers.sent_bytes") - sent
    await region.close()
    return row


async def measure(plan: Plan, folder: Path) -> Row:
    """Return the figures of one row."""
    match plan.slope:
        case "held":
            return await measure_held(plan)
        case "read_back":
            return await measure_read_back(plan)
        case "hosts":
            region, at_once, size = RunOnceRegion(plan.value), 1, TYPICAL_ANSWER
        case "disk_at_once":
            region, at_once, size = RunOnceRegion(3, folder), plan.value, TYPICAL_ANSWER
        case "at_once":
            region, at_once, size = RunOnceRegion(3), plan.value, TYPICAL_ANSWER
        case "answer_bytes":
            region, at_once, size = RunOnceRegion(3), 1, plan.value
        case _:
            raise ValueError(f"unknown slope: {plan.slope}")
    await region.start()
    row = await measure_calls(region, plan, at_once, size)
    await region.close()
    return row


def _own_pid() -> int:
    return int(Path("/proc/self").resolve().name)


def main() -> None:
    """Print one JSON line per row; with a plan as argument, only its row."""
    if len(sys.argv) > 1:
        plan = msgspec.json.decode(sys.argv[1], type=Plan)
        with tempfile.TemporaryDirectory() as folder:
            row = curio.run(measure, plan, Path(folder))
        print(msgspec.json.encode(row).decode(), flush=True)
        return
    sizes = {
        "hosts": HOSTS,
        "held": HELD,
        "at_once": AT_ONCE,
        "disk_at_once": AT_ONCE,
        "answer_bytes": ANSWER_BYTES,
        "read_back": READ_BACK,
    }
    module = "bronzepoint_emulator.slopes.run_once"
    for slope, values in sizes.items():
        for value in values:
            plan = msgspec.json.encode(Plan(slope, value)).decode()
            subprocess.run([sys.executable, "-m", module, plan], check=True)


if __name__ == "__main__":
    main()
