"""Stub engines and a weight store in processes, for the tests of orders."""

import json
import tempfile
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from bronzepoint_emulator.deployment import Client, ManagedProcess, PortBlock
from bronzepoint_emulator.deployment._targets import stand_in
from bronzepoint_emulator.deployment._waiting import wait_until
from bronzepoint_schema.generated.catalogue import ModelEntry, OrderProtocol, Target
from bronzepoint_schema.generated.emulator import (
    EnginePlan,
    EngineSpec,
    OrderCheck,
    WeightStorePlan,
)

PROTOCOLS = {
    OrderCheck.fenced: OrderProtocol.fenced,
    OrderCheck.unfenced: OrderProtocol.unfenced,
}


@dataclass
class FakeAgreement:
    """Fake agreement whose lease the test sets."""

    number: int | None = None
    age: float | None = 0.0

    def lease(self):
        return self.number

    def leader_age(self):
        return self.age


class FakeView:
    """Fake catalogue whose entries the test sets."""

    def __init__(self, *entries):
        self.ready = True
        self.entries = entries

    def items(self):
        return list(self.entries)


@dataclass
class Engines:
    """Running engines in one process, and their weight store."""

    specs: list[EngineSpec]
    process: ManagedProcess
    store: Client

    def entry(self, version, name="phrasebook"):
        targets = [
            Target(
                name=spec.name,
                region=spec.region,
                data_center=spec.data_center,
                address=spec.listen,
                slots=spec.slots,
                orders=PROTOCOLS[spec.check],
            )
            for spec in self.specs
        ]
        return ModelEntry(
            name=name, owner="saphan", model_version=version, targets=targets
        )

    def _get(self, spec, path):
        return json.loads(Client(spec.listen).get(path).body)

    def states(self):
        return [self._get(spec, "/orders") for spec in self.specs]

    def orders(self):
        """Return all orders that reached the engines, including refused ones."""
        return [
            order
            for spec in self.specs
            for order in self._get(spec, "/counts")["orders"]
        ]

    def all_at(self, version):
        return all(
            state["version"] == version and not state["loading"]
            for state in self.states()
        )

    def store_counts(self):
        return json.loads(self.store.get("/counts").body)


@contextmanager
def engines(count=2, rate=1000.0, check=OrderCheck.fenced, fetch_time=0.0, **fields):
    """Run engines of one region at version 1."""
    ports = PortBlock()
    ports.start()
    processes = []
    try:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            store = WeightStorePlan(ports.address(), rate, 1, fetch_time)
            specs = [
                EngineSpec(
                    f"bkk-engine-{number}",
                    "bkk",
                    "bkk-a",
                    ports.address(),
                    check=check,
                    **fields,
                )
                for number in range(count)
            ]
            plan = EnginePlan(specs, store.listen)
            processes = [
                stand_in("weight_store", store, folder),
                stand_in("engine", plan, folder),
            ]
            for process in processes:
                process.start()
            running = Engines(specs, processes[1], Client(store.listen))
            wait_until(running.states, "the engines answer")
            wait_until(running.store_counts, "the store answers")
            yield running
    finally:
        for process in processes:
            process.kill()
        ports.close()
