"""``python -m bronzepoint_emulator.bench.overhead [FILE]``: overhead of a host.

Measures the cost that a host adds to a request and to a streamed event. The processor
time is that of the daemon during each phase, minus its use when idle. In the same run,
the same load is sent directly to the engine, to compare latencies.
"""

import os
import statistics
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
from msgspec import Struct

from bronzepoint_emulator.bench._layout import (
    SHORT,
    STREAMS,
    TOKEN,
    engine_of,
    overhead_layout,
)
from bronzepoint_emulator.bench._load import Load, Observed, drive
from bronzepoint_emulator.bench._processor_time import processor_time, resident_memory
from bronzepoint_emulator.deployment import Deployment

HOST = "one-1"
IDLE_SECONDS = 3.0
"""Duration of the measurement without load."""
RUNS = 5
"""Number of repetitions of all phases."""
REQUESTS = Load(SHORT, callers=8, requests=100, tokens=1, stream=False)
STREAM_PHASES = tuple(
    Load(STREAMS, callers, requests=1, tokens=100, stream=True)
    for callers in (16, 32, 64, 128)
)
WARM_UP = Load(SHORT, callers=8, requests=20, tokens=1, stream=False)
MICRO = 1e6
MILLI = 1e3
MEGABYTE = 1e6


class Row(Struct):
    """One phase of one run.

    Attributes:
        request_us: Processor time of the host per request (µs).
        event_us: Processor time per event, without that of the requests (µs).
        busy: Share of a core that the host used.
        direct_ms, through_ms: Median time to the first byte (ms).
        direct_p95_ms, through_p95_ms: 95th percentile of the same (ms).
        events_per_read: Mean events per read of the callers.
        memory_mb: Resident memory of the host after the phase (MB).
    """

    load: Load
    run: int
    request_us: float
    event_us: float
    busy: float
    direct_ms: float
    through_ms: float
    direct_p95_ms: float
    through_p95_ms: float
    events_per_read: float
    memory_mb: float
    failed: int


class Report(Struct):
    """All phases of all runs."""

    load_average: float
    idle_share: float
    rows: list[Row]


@contextmanager
def measured(pid: int, idle: float) -> Iterator[list[float]]:
    """Measure the processor time of a process in a block, minus its idle use.

    Yields a list that contains the processor time and the elapsed time (s) on exit.
    """
    result: list[float] = []
    began, used = time.monotonic(), processor_time(pid)
    yield result
    elapsed = time.monotonic() - began
    result += [processor_time(pid) - used - idle * elapsed, elapsed]


def measure() -> Report:
    """Start a deployment and run all phases on it."""
    with Deployment(overhead_layout()) as deployment:
        host, pid = deployment.address(HOST), deployment.process(HOST).pid
        engines = {
            entry: deployment.targets.target(engine_of(entry))
            for entry in (SHORT, STREAMS)
        }
        drive(host, TOKEN, WARM_UP)
        idle = _idle_share(pid)
        rows = []
        for run in range(RUNS):
            request = _request_row(host, engines[SHORT], pid, idle, run)
            rows.append(request)
            for load in STREAM_PHASES:
                rows.append(
                    _stream_row(
                        host, engines[STREAMS], pid, idle, run, load, request.request_us
                    )
                )
        return Report(os.getloadavg()[0], idle, rows)


def _idle_share(pid: int) -> float:
    with measured(pid, 0.0) as result:
        time.sleep(IDLE_SECONDS)
    return result[0] / result[1]


def _request_row(host: str, engine: str, pid: int, idle: float, run: int) -> Row:
    direct = drive(engine, TOKEN, REQUESTS)
    with measured(pid, idle) as result:
        proxied = drive(host, TOKEN, REQUESTS)
    request_us = result[0] / len(proxied.whole) * MICRO
    memory = resident_memory(pid)
    return _row(REQUESTS, run, request_us, 0.0, result, memory, direct, proxied)


def _stream_row(
    host: str,
    engine: str,
    pid: int,
    idle: float,
    run: int,
    load: Load,
    request_us: float,
) -> Row:
    direct = drive(engine, TOKEN, load)
    with measured(pid, idle) as result:
        proxied = drive(host, TOKEN, load)
    spent = result[0] * MICRO - request_us * len(proxied.whole)
    event_us = spent / proxied.events
    memory = resident_memory(pid)
    return _row(load, run, request_us, event_us, result, memory, direct, proxied)


def _row(
    load: Load,
    run: int,
    request_us: float,
    event_us: float,
    result: list[float],
    memory: float,
    direct: Observed,
    proxied: Observed,
) -> Row:
    return Row(
        load=load,
        run=run,
        request_us=request_us,
        event_us=event_us,
        busy=result[0] / result[1],
        direct_ms=statistics.median(direct.first) * MILLI,
        through_ms=statistics.median(proxied.first) * MILLI,
        direct_p95_ms=_p95(direct.first) * MILLI,
        through_p95_ms=_p95(proxied.first) * MILLI,
        events_per_read=proxied.events / max(1, proxied.reads),
        memory_mb=memory / MEGABYTE,
        failed=proxied.failed + direct.failed,
    )


def _p95(values: list[float]) -> float:
    return statistics.quantiles(values, n=20)[-1]


def table(report: Report) -> str:
    """Return a Markdown table of medians over the runs, with their range."""
    head = (
        "| load | host per request µs | host per event µs | busy | memory MB "
        "| first byte direct ms (p95) | through the host ms (p95) | failed |\n"
        "|---|---|---|---|---|---|---|---|\n"
    )
    return head + "".join(_line(report, load) for load in (REQUESTS, *STREAM_PHASES))


def _line(report: Report, load: Load) -> str:
    rows = [row for row in report.rows if row.load == load]
    kind = f"{load.callers} streams" if load.stream else f"{load.callers} callers"
    event = _spread([row.event_us for row in rows]) if load.stream else "–"
    cells = [
        kind,
        "–" if load.stream else _spread([row.request_us for row in rows]),
        event,
        f"{statistics.median(row.busy for row in rows):.2f}",
        f"{statistics.median(row.memory_mb for row in rows):.1f}",
        f"{statistics.median(row.direct_ms for row in rows):.2f} "
        f"({statistics.median(row.direct_p95_ms for row in rows):.2f})",
        f"{statistics.median(row.through_ms for row in rows):.2f} "
        f"({statistics.median(row.through_p95_ms for row in rows):.2f})",
        str(sum(row.failed for row in rows)),
    ]
    return f"| {' | '.join(cells)} |\n"


def _spread(values: list[float]) -> str:
    return f"{statistics.median(values):.1f} ({min(values):.1f}–{max(values):.1f})"


def main() -> None:
    """Measure, print the table and optionally write the data to a file."""
    report = measure()
    print(f"Host idle: {report.idle_share:.2%} of a core; ", end="")
    print(f"load average {report.load_average:.1f}; {RUNS} runs, median (range).")
    print(table(report))
    if len(sys.argv) > 1:
        Path(sys.argv[1]).write_bytes(
            msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n"
        )


if __name__ == "__main__":
    main()
