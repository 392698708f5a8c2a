"""A deployment of real processes on loopback."""

import shutil
import tempfile
from pathlib import Path
from typing import Any, Self

import msgspec

from bronzepoint_emulator.deployment import _cleanup
from bronzepoint_emulator.deployment._client import Client
from bronzepoint_emulator.deployment._errors import DeploymentError
from bronzepoint_emulator.deployment._hosts import Hosts
from bronzepoint_emulator.deployment._layout import Layout
from bronzepoint_emulator.deployment._links import Links
from bronzepoint_emulator.deployment._operator import Operator
from bronzepoint_emulator.deployment._ports import PortBlock
from bronzepoint_emulator.deployment._process import ManagedProcess
from bronzepoint_emulator.deployment._targets import Targets, stand_in
from bronzepoint_emulator.deployment._waiting import MAX_WAIT, wait_until
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    ServiceEntry,
)
from bronzepoint_schema.ids import HostName

CLOSE_TIMEOUT = 5.0
"""Seconds that each process gets to exit after SIGTERM."""
MIN_VISIBLE_TARGETS = 16
"""Minimum number of targets that a host sees in a region with more of them."""


class Deployment:
    """Daemons and stubs of a layout, as processes; a context manager.

    Entering it starts all processes, forms the cluster, declares the layout's
    catalogue and waits until it is in effect on all hosts. The processes end with
    this one, however it ends.

    Args:
        layout: Hosts, targets, callers and catalogue to run.
        proxied: Put the links between hosts behind the fault proxy. Link faults
            (``cut`` and others) and the delay between regions need it.
        declare: Whether to form the cluster and declare the catalogue.
    """

    def __init__(
        self, layout: Layout, *, proxied: bool = False, declare: bool = True
    ) -> None:
        self.layout = layout
        self._proxied = proxied
        self._declare = declare
        self._ports = PortBlock()
        self._proxy: ManagedProcess | None = None
        self.folder = Path()
        self.hosts: Hosts
        self.targets: Targets
        self._links: Links | None = None

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    # Start and close

    def start(self) -> None:
        """Start all processes.

        Raises:
            DeploymentError: A process ended, or a state was not reached in time.
        """
        _cleanup.register(self.close)
        self.folder = Path(tempfile.mkdtemp(prefix="bronzepoint-"))
        self._ports.start()
        self.hosts = Hosts(self.layout, self.folder, self._ports)
        self.targets = Targets(self.layout, self.folder, self._ports)
        if self._proxied:
            self._start_proxy()
        self.hosts.write_settings(self._links, self.targets.platform)
        self.targets.start()
        self.hosts.start()
        if self._declare:
            self.initialise()
            self.declare_catalogue()

    def _start_proxy(self) -> None:
        self._links = Links(self.layout, self.hosts.addresses, self._ports)
        self._proxy = stand_in("fault_proxy", self._links.plan, self.folder)
        self._proxy.start()
        self._proxy.wait_answering(self._links.plan.control, "/links")

    def close(self) -> None:
        """End all processes and remove the folder; idempotent."""
        _cleanup.unregister(self.close)
        if hasattr(self, "hosts"):
            self.hosts.close(CLOSE_TIMEOUT)
        if hasattr(self, "targets"):
            self.targets.close(CLOSE_TIMEOUT)
        if self._proxy is not None:
            self._proxy.close(CLOSE_TIMEOUT)
        self._ports.close()
        if self.folder != Path():
            shutil.rmtree(self.folder, ignore_errors=True)

    def processes(self) -> list[ManagedProcess]:
        """Return every process of the deployment."""
        proxy = [] if self._proxy is None else [self._proxy]
        return [*self.hosts.processes.values(), *self.targets.processes, *proxy]

    def initialise(self) -> None:
        """Form the cluster through one of the voters."""
        self.operator(self.layout.voters()[0].name).initialise()

    def declare_catalogue(self) -> int:
        """Declare the layout's catalogue and wait until all hosts use it.

        Returns:
            Its revision.
        """
        operator = self.operator()
        revision = 0
        for item in self.catalogue():
            revision = operator.put(item)
        self.wait_revision(revision)
        for host in self.host_names():
            self.wait_ready(host)
            self.wait_targets(host)
        return revision

    def catalogue(self) -> list[CatalogueItem]:
        """Return the layout's catalogue items with the targets' addresses."""
        return self.layout.catalogue(self.layout, self.targets)

    # Clients

    def host_names(self) -> list[HostName]:
        """Return the names of all hosts."""
        return [host.name for host in self.layout.hosts]

    def address(self, host: str) -> str:
        """Return where a host listens for callers."""
        return self.hosts.addresses[HostName(host)].http

    def client(self, host: str, owner: str = "", region: str = "") -> Client:
        """Return a client with a caller's token, by default of the host's region."""
        home = region or self.layout.host(host).region
        token = next(
            caller.token
            for caller in self.layout.callers
            if caller.home == home and owner in ("", caller.owner)
        )
        return Client(self.address(host), token)

    def operator(self, host: str = "", name: str = "") -> Operator:
        """Return an operator's client, by default of the first host and operator."""
        spec = next(
            operator
            for operator in self.layout.operators
            if name in ("", operator.name)
        )
        at = host or self.layout.hosts[0].name
        return Operator(self.address(at), spec.token, spec.name)

    # States

    def revision(self, host: str) -> int:
        """Return the catalogue revision in effect on a host."""
        return int(self.operator(host).status()["revision"])

    def wait_revision(self, revision: int, hosts: list[HostName] | None = None) -> None:
        """Wait until a revision is in effect on hosts (all by default)."""
        for host in hosts or self.host_names():
            wait_until(
                lambda h=host: self.revision(h) >= revision,
                f"revision {revision} is in effect on {host}",
            )

    def wait_ready(self, host: str, timeout: float = MAX_WAIT) -> None:
        """Wait until a host reports that it is ready to serve."""
        client = Client(self.address(host))
        wait_until(
            lambda: client.get("/v1/health").json()["ready"],
            f"{host} is ready",
            timeout,
        )

    def wait_targets(self, host: str) -> None:
        """Wait until a host reports the targets of its region as ready.

        With an empty or partial list of targets, the host would refuse the first call
        because no target is available.
        """
        wanted = self._local_targets(host)

        def ready() -> bool:
            known = self.operator(host).targets()["targets"]
            found = {t["name"] for t in known if t["state"] == "ready"}
            return len(found & wanted) >= min(len(wanted), MIN_VISIBLE_TARGETS)

        wait_until(ready, f"{host} reports {', '.join(sorted(wanted))} as ready")

    def _local_targets(self, host: str) -> set[str]:
        region = self.layout.host(host).region
        return {
            target.name
            for item in self.catalogue()
            if isinstance(item, ModelEntry | ServiceEntry)
            for target in item.targets
            if target.region == region and not target.leaving
        }

    # Faults of hosts

    def process(self, host: str) -> ManagedProcess:
        """Return the process of a host's daemon."""
        return self.hosts.processes[HostName(host)]

    def kill(self, host: str) -> None:
        """Kill a daemon (SIGKILL)."""
        self.process(host).kill()

    def freeze(self, host: str) -> None:
        """Suspend a daemon (SIGSTOP); its connections stay open."""
        self.process(host).freeze()

    def thaw(self, host: str) -> None:
        """Resume a suspended daemon (SIGCONT)."""
        self.process(host).thaw()

    def terminate(self, host: str) -> None:
        """Ask a daemon to shut down (SIGTERM) without waiting for it."""
        self.process(host).terminate()

    def wipe(self, host: str) -> None:
        """Kill a daemon and empty its data folder."""
        self.kill(host)
        self.hosts.wipe(host)

    def restart(self, host: str) -> None:
        """Restart a daemon (killed first if running) and wait until it answers."""
        self.kill(host)
        self.process(host).start()
        self.hosts.wait_answering(HostName(host))

    # Faults of links

    @property
    def links(self) -> Links:
        """The links between hosts; requires ``proxied``."""
        if self._links is None:
            raise DeploymentError(
                "The deployment has no fault proxy: create it with proxied=True."
            )
        return self._links

    def cut(self, a: str, b: str) -> None:
        """Partition two hosts from each other; connections stay open."""
        self.links.cut(a, b)

    def cut_one_way(self, source: str, sink: str) -> None:
        """Block all traffic from ``source`` to ``sink``."""
        self.links.cut_one_way(source, sink)

    def isolate_host(self, host: str) -> None:
        """Partition one host from all others."""
        self.links.isolate([host])

    def isolate_region(self, region: str) -> None:
        """Partition the hosts of a region from all others."""
        self.links.isolate(host.name for host in self.layout.region_hosts(region))

    def heal(self) -> None:
        """Clear the faults of all links."""
        self.links.heal()

    # Faults and counts of targets

    def set_faults(self, target: str, **faults: Any) -> None:
        """Change faults of a target; the keys are the fields of TargetFaults."""
        self.targets.set_faults(target, **faults)

    def runs(self, request_id: str) -> dict[str, int]:
        """Return how often each target ran a request, by its id."""
        return self.targets.runs(request_id)

    def nonce_runs(self, nonce: str) -> dict[str, int]:
        """Return how often each target ran requests with a nonce."""
        return self.targets.nonce_runs(nonce)


def next_version(item: CatalogueItem) -> CatalogueItem:
    """Return a copy of an item with the next version."""
    return msgspec.structs.replace(item, version=item.version + 1)
