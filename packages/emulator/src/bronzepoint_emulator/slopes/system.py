"""``python -m bronzepoint_emulator.slopes.system``: cost by a deployment's load.

Runs nine daemons. The caller's host, another host in its region, which stores copies of
its records, and the leader are measured while one size grows: changes, requests, saved
calls, organisations, entries.
"""

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bronzepoint_common.load import LoadCall
from bronzepoint_emulator.deployment import Deployment, saphan
from bronzepoint_emulator.slopes._meter import HostMeter, Usage
from bronzepoint_emulator.slopes._system_loads import (
    chats,
    entry_items,
    lookups,
    owner_items,
    saves,
    send_changes,
    send_load,
)
from bronzepoint_emulator.slopes._system_rows import SystemRow
from bronzepoint_emulator.slopes._system_table import system_table
from bronzepoint_schema.generated.catalogue import CatalogueItem

ENTRY_HOST = "bkk-3"
SAME_REGION_HOST = "bkk-2"
IDLE_SECONDS = 10.0
"""Duration of a measurement without load."""
LOAD_SECONDS = 10.0
"""Duration of a load."""
SETTLE_SECONDS = 2.0
"""Time measured after a load, for copies and logs that are still written."""
REQUEST_RATES = [5.0, 10.0, 20.0, 40.0]
"""Requests per second."""
CHANGE_RATES = [1.0, 2.0, 4.0, 8.0]
"""Changes per second."""
ORGANISATIONS = [0, 500, 1000, 2000, 3000]
"""Numbers of organisations with a limit in the catalogue."""
ENTRIES = [0, 50, 100, 200, 400]
"""Numbers of additional entries in the catalogue."""


class System:
    """Measures one deployment.

    Args:
        deployment: Running deployment with its catalogue in effect.
        report: Called with each row.
    """

    def __init__(
        self, deployment: Deployment, report: Callable[[SystemRow], None]
    ) -> None:
        self._deployment = deployment
        self._report = report
        leader = deployment.operator().status()["leader"]
        roles = {"entry": ENTRY_HOST, "other": SAME_REGION_HOST, "leader": leader}
        self._meters = {
            role: HostMeter(deployment, host) for role, host in roles.items()
        }
        self._idle: dict[str, Usage] = {}

    def measure(self) -> None:
        """Measure all slopes."""
        self._measure_idle()
        for name, call in (("chat", chats), ("lookup", lookups), ("save", saves)):
            for rate in REQUEST_RATES:
                self._measure_load(name, call, rate)
        for rate in CHANGE_RATES:
            self._measure_changes(rate)
        self._measure_items("organisations", ORGANISATIONS, owner_items)
        self._measure_items("entries", ENTRIES, self._entries)

    def _entries(self, first: int, last: int) -> list[CatalogueItem]:
        return entry_items(self._deployment, first, last)

    def _measure_idle(self) -> None:
        for role, use in self._use_during(lambda: 0, IDLE_SECONDS).items():
            self._idle[role] = use
            self._report(SystemRow("idle", role, 0.0, 0, use))

    def _measure_load(
        self, name: str, call: Callable[[int], LoadCall], rate: float
    ) -> None:
        client = self._deployment.client(ENTRY_HOST)

        def send() -> int:
            result = send_load(client, call, rate, LOAD_SECONDS)
            return result.outcomes["answered"]

        self._report_above_idle(name, rate, send)

    def _measure_changes(self, rate: float) -> None:
        operator = self._deployment.operator(ENTRY_HOST)
        self._report_above_idle(
            "change", rate, lambda: send_changes(operator, rate, LOAD_SECONDS)
        )

    def _report_above_idle(self, slope: str, rate: float, work: Callable) -> None:
        counted: list[int] = []
        uses = self._use_during(lambda: counted.append(work()), SETTLE_SECONDS)
        for role, use in uses.items():
            minus_idle = use.minus_idle(self._idle[role])
            self._report(SystemRow(slope, role, rate, counted[0], minus_idle))

    def _measure_items(
        self,
        slope: str,
        sizes: list[int],
        items: Callable[[int, int], list[CatalogueItem]],
    ) -> None:
        """Declare an increasing number of items and measure the idle hosts."""
        operator = self._deployment.operator(ENTRY_HOST)
        declared = 0
        for size in sizes:
            revision = 0
            for item in items(declared, size):
                revision = operator.put(item)
            declared = size
            self._deployment.wait_revision(revision)
            for role, use in self._use_during(lambda: 0, IDLE_SECONDS).items():
                self._report(SystemRow(slope, role, float(size), 0, use))

    def _use_during(
        self, work: Callable[[], object], settle: float
    ) -> dict[str, Usage]:
        """Return each host's use during some work and ``settle`` seconds after it."""
        for meter in self._meters.values():
            meter.begin()
        work()
        # Copies and logs are written after the answers.
        time.sleep(settle)
        return {role: meter.end() for role, meter in self._meters.items()}


def measure_system(report: Callable[[SystemRow], None]) -> None:
    """Measure all slopes on Saphan's deployment."""
    with Deployment(saphan()) as deployment:
        System(deployment, report).measure()


def main(
    out: Annotated[Path, typer.Option(help="Folder for the table and the data.")] = (
        Path("docs/measurements")
    ),
) -> None:
    """Measure all slopes and write the table and the rows."""
    rows: list[SystemRow] = []

    def report(row: SystemRow) -> None:
        rows.append(row)
        typer.echo(msgspec.json.encode(row).decode())

    load = os.getloadavg()[0]
    measure_system(report)
    out.mkdir(parents=True, exist_ok=True)
    packed = msgspec.json.format(msgspec.json.encode(rows), indent=1)
    (out / "system.json").write_bytes(packed + b"\n")
    title = "# Cost of a deployment of nine hosts against its load\n\n"
    ran = f"`make slopes`; load average at the start {load:.1f} on {os.cpu_count()}"
    text = f"{title}{ran} cores.\n\n{system_table(rows)}"
    (out / "system.md").write_text(text)
    typer.echo(text)


if __name__ == "__main__":
    typer.run(main)
