"""Keeps the software versions of the last minute across restarts of core hosts."""

from collections.abc import Callable, Iterable
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_common.storage import SnapshotFile, StorageError
from bronzepoint_schema.generated.fleet import (
    KeptVersions,
    ServiceVersion,
    VersionsReply,
    VersionsRequest,
)
from bronzepoint_schema.ids import HostName

from ._version_history import VersionHistory, VersionKey

CHECK_INTERVAL = 0.25
"""Seconds between two checks for versions to store or to request."""
REQUEST_TIMEOUT = 0.6
"""Seconds to wait for another core host: three of the longest round trips."""

CLOSE_TIMEOUT = 2.0
"""Seconds to wait for a write in progress at a shutdown."""

_log = get_logger("targets")


class VersionMemory:
    """Restores the version history of a core host after a restart.

    A host that knows the versions on the list only would take a service whose former
    version has just left for one with a single version, and streams that began at the
    former one would go on at the other. The history is therefore stored on disk, and
    that of the other core hosts is requested at each start.

    Args:
        history: The history.
        folder: Folder of the file.
        first_start: Whether the whole system starts for the first time, so that no
            stream has begun.
        peers: Links to the other hosts.
        others: Returns the other core hosts.
    """

    def __init__(
        self,
        history: VersionHistory,
        folder: Path,
        first_start: bool,
        peers: Peers,
        others: Callable[[], Iterable[HostName]],
    ) -> None:
        self._history = history
        self._file = SnapshotFile(folder, "versions")
        self._first_start = first_start
        self._peers = peers
        self._others = others
        self._saving = curio.Lock()
        self._stored: tuple[bool, list[VersionKey]] | None = None
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Load the stored history, and start to store changes."""
        stored = await self._load()
        if stored is not None:
            # How long ago the versions left the list isn't stored.
            self._history.merge(stored.versions, monotonic())
        elif self._first_start and not self._file.path.exists():
            self._history.confirm()
        if stored is not None and stored.complete:
            self._history.confirm()
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop storing changes, after a write in progress unless the disk hangs."""
        if self._task is not None:
            async with curio.ignore_after(CLOSE_TIMEOUT):
                await self._task.cancel()

    async def _run(self) -> None:
        # A version may have come and gone while this host was down.
        await self._request()
        while True:
            if not self._history.is_complete(monotonic()):
                await self._request()
            await self.save()
            await curio.sleep(CHECK_INTERVAL)

    async def _request(self) -> None:
        """Request the history of the other core hosts."""
        async with curio.TaskGroup() as group:
            for host in self._others():
                await group.spawn(self._request_from, host)

    async def _request_from(self, host: HostName) -> None:
        try:
            reply = await self._peers.call(
                host, Area.FLEET, VersionsRequest(), REQUEST_TIMEOUT
            )
        except PeerError as exc:
            _log.debug("versions not received", host=host, reason=str(exc))
            return
        if isinstance(reply, VersionsReply):
            self._history.merge(reply.versions, monotonic())
            if reply.complete:
                self._history.confirm()

    async def save(self) -> None:
        """Store the versions if they have changed."""
        async with self._saving:
            await self._save()

    async def _save(self) -> None:
        now = monotonic()
        complete = self._history.is_complete(now)
        versions = self._history.versions(now)
        state = complete, [(v.service, v.software_version) for v in versions]
        if state == self._stored:
            return
        kept = [ServiceVersion(service, name, [], 0) for service, name in state[1]]
        content = msgspec.msgpack.encode(KeptVersions(complete, kept))
        try:
            # A cancelled task would leave its thread behind, still writing.
            async with curio.disable_cancellation():
                await curio.run_in_thread(self._file.save, content)
        except StorageError as exc:
            _log.warning("versions not kept", reason=str(exc))
        self._stored = state

    async def _load(self) -> KeptVersions | None:
        try:
            content = await curio.run_in_thread(self._file.load)
            if content is None:
                return None
            return msgspec.msgpack.decode(content, type=KeptVersions)
        except (StorageError, msgspec.MsgspecError) as exc:
            _log.warning("versions not read", reason=str(exc))
            return None
