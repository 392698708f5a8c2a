"""``python -m bronzepoint_emulator.slopes.orders``: cost of polling engines.

The lease holder's orders run in this process, the stub engines in another. All engines
already have the wanted version, so only the polling is measured: it is continuous,
whereas orders are rare.
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
"""Duration of a measurement."""
REGION = RegionName("bkk")
DATA_CENTER = DataCenterName("bkk-a")
VERSION = "1"
ALL_EACH_SECOND = OrdersSection(poll=1.0, polls_per_second=1000.0)
"""Settings with which every engine is polled once per second."""


class Row(Struct):
    """Measurement of one number of engines.

    Attributes:
        engines: Number of engines polled.
        looks: Polls per second.
        processor_ms: Processor time per second (ms).
    """

    engines: int
    looks: float
    processor_ms: float


class PermanentLease:
    """An agreement in which this host always holds the lease."""

    def lease(self) -> FencingNumber | None:
        """Return the lease's number."""
        return FencingNumber(1)

    def leader_age(self) -> float | None:
        """Return 0: the catalogue is always current."""
        return 0.0


class FixedCatalogue:
    """A fixed catalogue of one entry."""

    ready = True

    def __init__(self, targets: list[Target]) -> None:
        self._entry = ModelEntry(
            EntryName("model"), OwnerName("o"), model_version=VERSION, targets=targets
        )

    def items(self) -> list[CatalogueItem]:
        """Return the entry."""
        return [self._entry]


class CountingClient(EngineClient):
    """Counts the polls."""

    polls = 0

    async def state(self, target: Target) -> object:
        """Poll an engine and count the poll."""
        self.polls += 1
        return await super().state(target)


@contextmanager
def running_engines(count: int):
    """Run stub engines in a process and yield their targets."""
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
    """Poll the engines for ``SECONDS`` and measure."""
    orders = Orders(
        PermanentLease(), FixedCatalogue(targets), Metrics(), ALL_EACH_SECOND
    )
    client = orders._client = CountingClient(ALL_EACH_SECOND.timeout)
    await orders.start()
    while any(engine.phase != "current" for engine in orders.status().engines) or (
        targets and not orders.status().engines
    ):
        await curio.sleep(0.1)
    polls, processor, began = client.polls, time.process_time(), time.monotonic()
    await curio.sleep(SECONDS)
    spent = time.monotonic() - began
    row = Row(
        engines=len(targets),
        looks=(client.polls - polls) / spent,
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
