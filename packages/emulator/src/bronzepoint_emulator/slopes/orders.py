"""``python -m bronzepoint_emulator.slopes.orders``: cost of looking at engines.

The lease holder's orders run in this process, the stand-in engines in another. All
engines have the wanted version, so what is measured is the looking; it goes on all the
time, orders are rare.
"""

import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

import curio
import msgspec
from msgspec import Struct

from bronzepoint_common.metrics import Metrics
from bronzepoint_emulator.slopes._measured_process import free_addresses
from bronzepoint_node.orders import EngineClient, Orders
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    OrderProtocol,
    Target,
)
from bronzepoint_schema.generated.emulator import EnginePlan, EngineSpec
from bronzepoint_schema.generated.settings import OrdersSection
from bronzepoint_schema.ids import (
    DataCenterName,
    EntryName,
    FencingNumber,
    OwnerName,
    RegionName,
    TargetName,
)

ENGINES = [0, 12, 25, 50, 100]
SECONDS = 15.0
REGION = RegionName("bkk")
DATA_CENTER = DataCenterName("bkk-a")
VERSION = "1"
ALL_EACH_SECOND = OrdersSection(poll=1.0, polls_per_second=1000.0)


class Row(Struct):
    """One measurement.

    Attributes:
        engines: Engines that are looked at.
        looks: Looks a second that were made.
        processor_ms: Processor time a second.
    """

    engines: int
    looks: float
    processor_ms: float


class HeldLease:
    """An agreement whose lease this host always holds."""

    def lease(self) -> FencingNumber | None:
        """Return the lease's number."""
        return FencingNumber(1)

    def leader_age(self) -> float | None:
        """Return that the catalogue is current."""
        return 0.0


class FixedView:
    """A catalogue of one entry."""

    ready = True

    def __init__(self, targets: list[Target]) -> None:
        self._entry = ModelEntry(
            EntryName("model"), OwnerName("o"), model_version=VERSION, targets=targets
        )

    def items(self) -> list[CatalogueItem]:
        """Return the entry."""
        return [self._entry]


class CountingClient(EngineClient):
    """Counts the looks."""

    looks = 0

    async def state(self, target: Target) -> object:
        """Look, and count."""
        self.looks += 1
        return await super().state(target)


@contextmanager
def running_engines(count: int):
    """Run stand-in engines in a process; gives their targets."""
    names = [f"{REGION}-engine-{number}" for number in range(count)]
    addresses = free_addresses(names)
    specs = [
        EngineSpec(
            TargetName(name), REGION, DATA_CENTER, listen=address, version=VERSION
        )
        for name, address in addresses.items()
    ]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "plan.json"
        path.write_bytes(msgspec.json.encode(EnginePlan(specs)))
        command = [sys.executable, "-m", "bronzepoint_emulator.engine", str(path)]
        child = subprocess.Popen(command)
        try:
            yield [
                Target(
                    spec.name,
                    REGION,
                    DATA_CENTER,
                    spec.listen,
                    orders=OrderProtocol.fenced,
                )
                for spec in specs
            ]
        finally:
            child.terminate()
            child.wait()


async def measure(targets: list[Target]) -> Row:
    """Look at the engines for a while, and count."""
    orders = Orders(HeldLease(), FixedView(targets), Metrics(), ALL_EACH_SECOND)
    client = orders._client = CountingClient(ALL_EACH_SECOND.timeout)
    await orders.start()
    while any(engine.phase != "current" for engine in orders.status().engines) or (
        targets and not orders.status().engines
    ):
        await curio.sleep(0.1)
    looks, processor, began = client.looks, time.process_time(), time.monotonic()
    await curio.sleep(SECONDS)
    spent = time.monotonic() - began
    row = Row(
        engines=len(targets),
        looks=(client.looks - looks) / spent,
        processor_ms=(time.process_time() - processor) * 1000 / spent,
    )
    await orders.close()
    return row


def main() -> None:
    """Print one JSON line for each measurement."""
    for count in ENGINES:
        with running_engines(count) as targets:
            row = curio.run(measure, targets)
        print(msgspec.json.encode(row).decode(), flush=True)


if __name__ == "__main__":
    main()
