"""``python -m bronzepoint_emulator.slopes.agreement``: cost of catalogue replication.

The measured host runs as a separate process; the voters and the hosts that poll it run
in this process and reach it over real links. Rows: children of a relay, children of the
leader, voters, changes per second, items, targets of the changed entry, and, measured
in this process, the length of the log.
"""

import tempfile
import time
from pathlib import Path

import curio
import uuid_utils
from msgspec import Struct

from bronzepoint_emulator.slopes._agreement_feeder import Feeder
from bronzepoint_emulator.slopes._agreement_plan import (
    MEASURED,
    AgreementFigures,
    AgreementPlan,
)
from bronzepoint_emulator.slopes._measured_process import (
    free_addresses,
    print_row,
    run_host,
)
from bronzepoint_node.agreement._state_machine import StateMachine
from bronzepoint_node.agreement._voter_log import VoterLog
from bronzepoint_schema.generated.agreement import Change, ChangeBody, LogEntry, Put
from bronzepoint_schema.generated.catalogue import Limits, OwnerItem
from bronzepoint_schema.ids import (
    ChangeId,
    ClusterId,
    HostName,
    OperatorName,
    OwnerName,
    Term,
)

CHILDREN = [0, 4, 8, 16, 32]
VOTERS = [3, 5, 7, 9]
RATES = [0.0, 0.5, 1.0, 2.0, 4.0]
"""Changes per second."""
ITEMS = [50, 500, 1500, 3000]
TARGETS = [10, 100, 500, 1800]
LOG_LENGTHS = [100, 1000, 5000, 20000]
"""Numbers of log entries."""
_HOST_MODULE = "bronzepoint_emulator.slopes._agreement_host"
_LOG_ITEMS = 1000
"""Number of items that the log's entries change."""


class Row(Struct):
    """Measurement of a host."""

    slope: str
    leads: bool
    voters: int
    children: int
    rate: float
    items: int
    targets: int
    figures: AgreementFigures


class LogRow(Struct):
    """Measurement of the log; times in milliseconds."""

    slope: str
    entries: int
    append: float
    reopen: float
    replay: float
    compact: float


async def measure(
    slope: str,
    leads: bool,
    voters: int = 5,
    children: int = 8,
    rate: float = 0.0,
    items: int = 50,
    targets: int = 0,
) -> Row:
    """Measure one size.

    Args:
        slope: Name of the varied size.
        leads: Whether the measured host leads; otherwise it is a relay.
        voters: Number of voters, including the measured host if it leads.
        children: Hosts that poll it.
        rate: Changes per second.
        items: Items in the catalogue.
        targets: Targets of the changed entry; if 0, owners are changed.
    """
    others = voters - 1 if leads else voters
    names = [f"voter-{number}" for number in range(others)]
    names += [f"child-{number}" for number in range(children)]
    hosts = {HostName(n): a for n, a in free_addresses([MEASURED, *names]).items()}
    with tempfile.TemporaryDirectory() as folder:
        plan = AgreementPlan(hosts, folder, leads, items, targets, rate)
        feeder = Feeder(plan)
        await feeder.start()
        try:
            figures = await run_host(_HOST_MODULE, plan, AgreementFigures)
        finally:
            await feeder.close()
    return Row(slope, leads, voters, children, rate, items, targets, figures)


async def measure_log(entries: int) -> LogRow:
    """Measure appending to, reopening, replaying and compacting a log."""
    with tempfile.TemporaryDirectory() as folder:
        log = VoterLog(Path(folder))
        await log.open()
        log_entries = [_entry(index) for index in range(1, entries + 1)]
        await log.append(log_entries[: -_single_appends(entries)])
        started = time.perf_counter()
        for entry in log_entries[-_single_appends(entries) :]:
            await log.append([entry])
        append = (time.perf_counter() - started) / _single_appends(entries)
        await log.close()
        log = VoterLog(Path(folder))
        started = time.perf_counter()
        await log.open()
        reopen = time.perf_counter() - started
        started = time.perf_counter()
        state_machine = StateMachine(ClusterId("slopes"), [])
        for entry in log_entries:
            state_machine.apply(entry)
        replay = time.perf_counter() - started
        started = time.perf_counter()
        await log.compact(state_machine.snapshot(), keep=0)
        compact = time.perf_counter() - started
        await log.close()
    times = [round(1000 * seconds, 3) for seconds in (append, reopen, replay, compact)]
    return LogRow("log length", entries, *times)


def _single_appends(entries: int) -> int:
    """Return how many of a log's entries are appended one by one and timed."""
    return min(50, entries // 2)


def _entry(index: int) -> LogEntry:
    name = OwnerName(f"owner-{index % _LOG_ITEMS}")
    item = OwnerItem(name, limits=Limits(rate=float(index)))
    change_id = ChangeId(str(uuid_utils.uuid7()))
    version = 1 + (index - (index % _LOG_ITEMS or _LOG_ITEMS)) // _LOG_ITEMS
    change = Change(change_id, OperatorName("slopes"), version, Put(item))
    return LogEntry(index, Term(1), 0.0, ChangeBody(change))


async def measure_all() -> None:
    """Measure all rows, one after another, and print each."""
    for entries in LOG_LENGTHS:
        print_row(await measure_log(entries))
    for children in CHILDREN:
        print_row(await measure("children of a relay", False, children=children))
    for children in CHILDREN:
        row = await measure("children, changes", False, children=children, rate=2.0)
        print_row(row)
    for children in CHILDREN:
        print_row(await measure("children of the leader", True, children=children))
    for voters in VOTERS:
        print_row(await measure("voters", True, voters=voters))
    for rate in RATES:
        print_row(await measure("changes", True, rate=rate))
    for items in ITEMS:
        print_row(await measure("items", False, items=items))
    for targets in TARGETS:
        print_row(await measure("targets, relay", False, rate=1.0, targets=targets))
    for targets in TARGETS:
        print_row(await measure("targets, leader", True, rate=1.0, targets=targets))


def main() -> None:
    """Print one JSON line for each measurement."""
    curio.run(measure_all)


if __name__ == "__main__":
    main()
