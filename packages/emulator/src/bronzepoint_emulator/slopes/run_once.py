"""``python -m bronzepoint_emulator.slopes.run_once``: cost of run-once records.

Each row is a process of its own, with all hosts of one region in it and real sockets
between them, so processor time is that of the claiming host and of all copies
together. Varied: hosts in the region, records held, claims at once with a disk, bytes
of the kept answer, and records that a host without memory reads back.
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
AT_ONCE = [1, 4, 16, 64]
ANSWER_BYTES = [0, 256, 1024, 4096, 16384]
READ_BACK = [300, 1_000, 3_000, 10_000]
CALLS = 1_000
FILLERS = 32
DIGEST = bytes(32)
TYPICAL_ANSWER = 256


class Plan(Struct):
    """One row: what is varied, and its value."""

    slope: str
    value: int


class Row(Struct):
    """Figures of one row; of a claim and its outcome, unless said otherwise.

    Attributes:
        slope: What is varied.
        value: Its value.
        p50_ms: Median time of a claim with its outcome.
        p99_ms: The 99th percentile.
        processor_us: Processor time of all hosts together.
        messages: Messages between hosts.
        bytes: Bytes of these messages.
        syncs: Syncs of all disks together.
        register_bytes: Memory of one register in one copy; 0: not measured.
        read_seconds: Time in which a host without memory read its registers back.
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
    """Claim a new key, record an answer, and return the seconds that both took."""
    run_once = region.hosts[host]
    key = IdempotencyKey(str(uuid_utils.uuid7()))
    began = time.perf_counter()
    result = await run_once.claim(key, DIGEST, RequestId(f"{host}.{key}"))
    if not isinstance(result, Claimed):
        raise RuntimeError(f"the claim came to {result}")
    await run_once.finish(result.token, StoredAnswer(200, bytes(size)))
    return time.perf_counter() - began


async def call_many(
    region: RunOnceRegion, calls: int, at_once: int, size: int
) -> list[float]:
    """Make calls over all hosts, so many at once; return the time of each."""
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
    """Make calls and return what each cost."""
    await call_many(region, len(region.names) * 3, at_once, size)
    names = ["peers.sent", "peers.sent_bytes", "run_once.log.syncs"]
    before = [region.counter(name) for name in names]
    processor = time.process_time()
    times = await call_many(region, CALLS, at_once, size)
    processor = time.process_time() - processor
    grown = [
        (region.counter(name) - count) / CALLS
        for name, count in zip(names, before, strict=True)
    ]
    return Row(
        plan.slope,
        plan.value,
        p50_ms=times[len(times) // 2] * 1e3,
        p99_ms=times[len(times) * 99 // 100] * 1e3,
        processor_us=processor / CALLS * 1e6,
        messages=grown[0],
        bytes=grown[1],
        syncs=grown[2],
    )


async def measure_held(plan: Plan) -> Row:
    """Return the cost of a call while so many records are held on each host."""
    region = await RunOnceRegion(3).start()
    before = resident_memory(_own_pid())
    await call_many(region, plan.value, FILLERS, TYPICAL_ANSWER)
    grown = resident_memory(_own_pid()) - before
    row = await measure_calls(region, plan, 1, TYPICAL_ANSWER)
    if plan.value:
        row.register_bytes = grown / (3 * plan.value)
    await region.close()
    return row


async def measure_read_back(plan: Plan) -> Row:
    """Return how long a host that lost so many registers takes to read them back."""
    region = await RunOnceRegion(3).start()
    await call_many(region, plan.value, FILLERS, TYPICAL_ANSWER)
    victim = region.names[0]
    await region.stop(victim)
    sent = region.counter("peers.sent_bytes")
    began = time.perf_counter()
    await region.boot(victim)
    while not region.hosts[victim].recovered:
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
            raise ValueError(f"no slope is named {plan.slope}")
    await region.start()
    row = await measure_calls(region, plan, at_once, size)
    await region.close()
    return row


def _own_pid() -> int:
    return int(Path("/proc/self").resolve().name)


def main() -> None:
    """Print one JSON line for each row; with a plan, measure that row alone."""
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
