"""The stub processes of a deployment: plans, faults and counters."""

import sys
from pathlib import Path
from typing import Any

import msgspec

from bronzepoint_emulator.deployment._client import Client, Reply
from bronzepoint_emulator.deployment._errors import RequestFailed
from bronzepoint_emulator.deployment._layout import Layout
from bronzepoint_emulator.deployment._ports import PortBlock
from bronzepoint_emulator.deployment._process import ManagedProcess
from bronzepoint_emulator.deployment._settings import PlatformAddresses
from bronzepoint_schema.generated.emulator import (
    EnginePlan,
    HostListPlan,
    ListedHostChange,
    RunCounts,
    ServicePlan,
    WeightStorePlan,
)
from bronzepoint_schema.generated.platform import ListedState
from bronzepoint_schema.ids import TargetName

HOST_LIST_LAG = 1.0
"""Seconds until the host list shows a change."""


class Targets:
    """Runs the stub processes of a layout and sets their faults.

    Args:
        layout: The deployment.
        folder: Folder for plans and logs.
        ports: Source of free ports.
    """

    def __init__(self, layout: Layout, folder: Path, ports: PortBlock) -> None:
        self._layout = layout
        self._folder = folder
        specs = [*layout.engines, *layout.services]
        self._addresses = {spec.name: ports.address() for spec in specs}
        self.platform = PlatformAddresses(ports.address(), ports.address())
        self.processes = self._processes()

    def target(self, name: TargetName) -> str:
        """Return ``host:port`` of a target."""
        return self._addresses[name]

    def names(self) -> list[TargetName]:
        """Return the names of all targets."""
        return list(self._addresses)

    def _processes(self) -> list[ManagedProcess]:
        layout = self._layout
        plans = {
            "engine": EnginePlan(
                engines=[self._with_address(spec) for spec in layout.engines],
                weight_store=self.platform.weight_store,
            ),
            "service": ServicePlan(
                services=[self._with_address(spec) for spec in layout.services]
            ),
            "host_list": HostListPlan(
                listen=self.platform.host_list, hosts=self.names(), lag=HOST_LIST_LAG
            ),
            "weight_store": WeightStorePlan(listen=self.platform.weight_store),
        }
        return [
            stand_in(command, plan, self._folder) for command, plan in plans.items()
        ]

    def _with_address(self, spec: Any) -> Any:
        return msgspec.structs.replace(spec, listen=self._addresses[spec.name])

    def start(self) -> None:
        """Start all stubs and wait until they answer."""
        for process in self.processes:
            process.start()
        engines, services, host_list, weight_store = self.processes
        for engine in self._layout.engines:
            engines.wait_answering(self.target(engine.name), "/counts")
        for service in self._layout.services:
            services.wait_answering(self.target(service.name), "/counts")
        host_list.wait_answering(self.platform.host_list, "/hosts")
        weight_store.wait_answering(self.platform.weight_store, "/counts")

    def close(self, timeout: float) -> None:
        """End all stubs."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            process.close(timeout)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Change faults of a target; the keys are the fields of TargetFaults."""
        _require_ok(self._client(name).post("/control", faults), f"faults of {name}")

    def counts(self, name: str) -> RunCounts:
        """Return the run counters of a target."""
        reply = _require_ok(self._client(name).get("/counts"), f"counts of {name}")
        return msgspec.json.decode(reply.body, type=RunCounts)

    def runs(self, request_id: str) -> dict[str, int]:
        """Return how often each target ran a request, by id; zeros are omitted."""
        counted = {name: self.counts(name).requests for name in self._addresses}
        return {
            name: requests[request_id]
            for name, requests in counted.items()
            if request_id in requests
        }

    def nonce_runs(self, nonce: str) -> dict[str, int]:
        """Return how often each target ran requests with a nonce.

        A service reads the nonce from the request's body; an engine uses the last word
        of the prompt.
        """
        counted = {name: self.counts(name).nonces for name in self._addresses}
        return {
            name: nonces[nonce] for name, nonces in counted.items() if nonce in nonces
        }

    def list_as(self, name: str, state: ListedState) -> None:
        """Change a target's state in the host list, which shows it after a lag."""
        change = msgspec.json.encode(ListedHostChange(TargetName(name), state))
        reply = Client(self.platform.host_list).post("/control", change)
        _require_ok(reply, f"state of {name} in the host list")

    def _client(self, name: str) -> Client:
        return Client(self._addresses[TargetName(name)])


def stand_in(command: str, plan: Any, folder: Path) -> ManagedProcess:
    """Write the plan of a stub and return its process, not yet started."""
    path = folder / f"{command}.json"
    path.write_bytes(msgspec.json.encode(plan))
    module = f"bronzepoint_emulator.{command}"
    return ManagedProcess(
        command,
        [sys.executable, "-m", module, str(path)],
        folder / f"{command}.log",
    )


def _require_ok(reply: Reply, what: str) -> Reply:
    if reply.status != 200:
        raise RequestFailed(what, reply.status, reply.body)
    return reply
