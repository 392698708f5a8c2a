"""Keeps the addresses of the other hosts across restarts of a core host."""

from pathlib import Path

import curio
import msgspec

from bronzepoint_common.background import spawn_background
from bronzepoint_common.logs import get_logger
from bronzepoint_common.storage import SnapshotFile, StorageError
from bronzepoint_node.fleet import MAX_REPORT_AGE, Registry
from bronzepoint_schema.generated.fleet import KeptHosts
from bronzepoint_schema.ids import HostName

SAVE_INTERVAL = 5.0
"""Seconds between two checks for hosts to store."""
CLOSE_TIMEOUT = 2.0
"""Seconds to wait for a write in progress at a shutdown."""
MIN_RESTORED_AGE_MS = int(MAX_REPORT_AGE * 1000)
"""Minimum age of restored reports: the hosts count as lost until they are heard."""
AGE_STEP_MS = 3_600_000
"""Milliseconds by which a lost host must have aged to be stored again. Without its age,
each restart would remember it for another day."""

_log = get_logger("core")


class HostMemory:
    """Stores which hosts a core host knows.

    After a loss of power of the whole system, entry hosts know only the seeds of their
    settings, which may all be gone. A core host that remembers their addresses can
    tell them where the core is.

    Args:
        registry: Hosts known to this host.
        folder: Folder of the file.
    """

    def __init__(self, registry: Registry, folder: Path) -> None:
        self._registry = registry
        self._file = SnapshotFile(folder, "hosts")
        self._stored: set[tuple[HostName, int]] = set()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Restore the hosts, and start to store changes."""
        try:
            content = await curio.run_in_thread(self._file.load)
            if content is not None:
                self._restore(msgspec.msgpack.decode(content, type=KeptHosts))
        except (StorageError, msgspec.MsgspecError) as exc:
            _log.warning("hosts not read", reason=str(exc))
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop storing changes, after a write in progress unless the disk hangs."""
        if self._task is not None:
            async with curio.ignore_after(CLOSE_TIMEOUT):
                await self._task.cancel()

    async def _run(self) -> None:
        while True:
            await curio.sleep(SAVE_INTERVAL)
            await self.save()

    async def save(self) -> None:
        """Store the known hosts if the set of them or an age has changed much."""
        hosts = self._registry.known_entries()
        core = self._registry.known_core()
        state = {(host.name, host.age_ms // AGE_STEP_MS) for host in [*hosts, *core]}
        if state == self._stored:
            return
        content = msgspec.msgpack.encode(KeptHosts(hosts, core))
        try:
            # A cancelled task would leave its thread behind, still writing.
            async with curio.disable_cancellation():
                await curio.run_in_thread(self._file.save, content)
        except StorageError as exc:
            _log.warning("hosts not kept", reason=str(exc))
            return
        self._stored = state

    def _restore(self, kept: KeptHosts) -> None:
        for host in [*kept.hosts, *kept.core]:
            host.age_ms = max(host.age_ms, MIN_RESTORED_AGE_MS)
        self._registry.merge_entries(kept.hosts)
        self._registry.merge_core(kept.core)
