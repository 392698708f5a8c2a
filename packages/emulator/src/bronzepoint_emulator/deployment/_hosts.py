"""The daemons of a deployment."""

import shutil
import sys
from pathlib import Path

from bronzepoint_emulator.deployment._layout import Layout
from bronzepoint_emulator.deployment._links import Links
from bronzepoint_emulator.deployment._ports import PortBlock
from bronzepoint_emulator.deployment._process import ManagedProcess
from bronzepoint_emulator.deployment._settings import (
    HostAddresses,
    PlatformAddresses,
    write_settings,
)
from bronzepoint_schema.ids import HostName

CLUSTER_KEY = "5a" * 32
"""Shared secret of the hosts, 64 hex digits."""


class Hosts:
    """Writes the settings of all hosts and runs their daemons.

    Args:
        layout: The deployment.
        folder: Folder for settings, data folders and logs.
        ports: Source of free ports.
    """

    def __init__(self, layout: Layout, folder: Path, ports: PortBlock) -> None:
        self._layout = layout
        self._folder = folder
        self.addresses = {
            host.name: HostAddresses(http=ports.address(), peer=ports.address())
            for host in layout.hosts
        }
        self.processes = {
            host.name: ManagedProcess(
                host.name,
                [
                    sys.executable,
                    "-m",
                    "bronzepoint_node",
                    str(self.settings(host.name)),
                ],
                folder / f"{host.name}.log",
            )
            for host in layout.hosts
        }

    def settings(self, name: str) -> Path:
        """Return the path of a host's settings file."""
        return self._folder / f"{name}.ini"

    def data_folder(self, name: str) -> Path | None:
        """Return a host's data folder; None if it has no disk."""
        if not self._layout.host(name).voter:
            return None
        return self._folder / "data" / name

    def write_settings(self, links: Links | None, platform: PlatformAddresses) -> None:
        """Write all settings files; with a proxy, peer addresses are its links."""
        for host in self._layout.hosts:
            data_folder = self.data_folder(host.name)
            if data_folder is not None:
                data_folder.mkdir(parents=True, exist_ok=True)
            write_settings(
                self.settings(host.name),
                self._layout,
                host,
                self.addresses[host.name],
                links.addresses_for(host.name) if links else self.addresses,
                platform,
                CLUSTER_KEY,
                data_folder,
            )

    def start(self) -> None:
        """Start all daemons and wait until each answers."""
        for process in self.processes.values():
            process.start()
        for name in self.processes:
            self.wait_answering(name)

    def wait_answering(self, name: HostName) -> None:
        """Wait until a daemon answers its health check with any status.

        Raises:
            ProcessEnded: The daemon has ended.
        """
        address = self.addresses[name].http
        self.processes[name].wait_answering(address, "/v1/health")

    def wipe(self, name: str) -> None:
        """Empty the data folder of a host that is not running."""
        data_folder = self.data_folder(name)
        if data_folder is None:
            return
        shutil.rmtree(data_folder)
        data_folder.mkdir()

    def close(self, timeout: float) -> None:
        """End all daemons."""
        for process in self.processes.values():
            if process.alive:
                process.thaw()
                process.terminate()
        for process in self.processes.values():
            process.close(timeout)
