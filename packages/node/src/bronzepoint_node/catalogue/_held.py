"""The stored catalogue of this host, its recent deltas and its files."""

import zlib
from collections import deque
from collections.abc import Callable
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.batches import first_batch
from bronzepoint_common.logs import get_logger
from bronzepoint_common.storage import RecordLog, SnapshotFile, StorageError
from bronzepoint_schema.generated.agreement import Delta, ViewSnapshot
from bronzepoint_schema.generated.catalogue import CatalogueItem
from bronzepoint_schema.ids import ClusterId, Revision

from ._items import ItemKey, apply_delta, item_key

_NAME = "catalogue"
_MAX_DELTAS = 1024
"""Maximum number of deltas kept for hosts that are behind. Hosts that are further
behind get the whole view."""
_MAX_DELTAS_SENT = 256
"""Maximum number of missing deltas that are sent; beyond it a host gets the whole
view."""
_COMPACT_EVERY = 500
"""Number of deltas in the file after which a snapshot of the view replaces them."""
_encoder = msgspec.msgpack.Encoder()
_log = get_logger("catalogue")
_delta_decoder = msgspec.msgpack.Decoder(Delta)
_view_decoder = msgspec.msgpack.Decoder(ViewSnapshot)


class HeldCatalogue:
    """The newest catalogue that this host holds, on disk if it has a data folder.

    Args:
        folder: The data folder; None to keep the catalogue in memory only.

    Attributes:
        cluster: The cluster it belongs to; empty before it has joined one.
        revision: Its newest revision.
        items: Its items; replaced, never changed in place.
        durable: Whether it survives a restart; False once the disk has failed.
    """

    def __init__(self, folder: Path | None) -> None:
        self.cluster = ClusterId("")
        self.revision = Revision(0)
        self.items: dict[ItemKey, CatalogueItem] = {}
        self.durable = folder is not None
        self._log = RecordLog(folder, _NAME) if folder is not None else None
        self._snapshot = SnapshotFile(folder, _NAME) if folder is not None else None
        self._logged = 0
        self._deltas: deque[Delta] = deque(maxlen=_MAX_DELTAS)
        self._encoded: tuple[Revision, bytes] | None = None

    async def open(self) -> None:
        """Load the catalogue from the files.

        Raises:
            StorageError: The files are damaged, or another process holds them.
        """
        if self._log is None:
            return
        records = await curio.run_in_thread(self._log.open)
        content = await curio.run_in_thread(self._snapshot.load)
        if content is not None:
            self._load(_view_decoder.decode(content))
        for record in records:
            delta = _delta_decoder.decode(record)
            if delta.revision == self.revision + 1:
                self._apply(delta)
        self._logged = len(records)

    async def close(self) -> None:
        """Close the files."""
        if self._log is not None:
            await curio.run_in_thread(self._log.close)

    async def join(self, cluster: ClusterId) -> None:
        """Join a cluster with an empty catalogue."""
        await self.replace(ViewSnapshot(cluster, Revision(0), []))

    async def advance(self, deltas: list[Delta]) -> bool:
        """Apply the new deltas; return False if a preceding delta is missing."""
        new = [delta for delta in deltas if delta.revision > self.revision]
        if not new:
            return True
        if new[0].revision != self.revision + 1:
            return False
        async with curio.disable_cancellation():
            records = [_encoder.encode(delta) for delta in new]
            await self._persist(lambda: self._append(records))
            for delta in new:
                self._apply(delta)
            if self._logged >= _COMPACT_EVERY:
                view = self._as_view()
                await self._persist(lambda: self._write_snapshot(view))
        return True

    async def replace(self, view: ViewSnapshot) -> None:
        """Replace the catalogue with a newer complete view."""
        async with curio.disable_cancellation():
            await self._persist(lambda: self._write_snapshot(view))
            self._load(view)
            self._deltas.clear()

    def deltas_after(self, revision: Revision) -> list[Delta] | None:
        """Return the next deltas after a revision, or None if it is too far behind."""
        if revision >= self.revision:
            return []
        missing = self.revision - revision
        if missing > min(len(self._deltas), _MAX_DELTAS_SENT):
            return None
        return first_batch(list(self._deltas)[-missing:])

    def encoded_view(self) -> bytes:
        """Return the compressed whole view."""
        if self._encoded is None or self._encoded[0] != self.revision:
            content = zlib.compress(_encoder.encode(self._as_view()), 1)
            self._encoded = (self.revision, content)
        return self._encoded[1]

    def _as_view(self) -> ViewSnapshot:
        return ViewSnapshot(self.cluster, self.revision, list(self.items.values()))

    def _apply(self, delta: Delta) -> None:
        self.items = apply_delta(self.items, delta)
        self.revision = delta.revision
        self._deltas.append(delta)

    def _load(self, view: ViewSnapshot) -> None:
        self.cluster, self.revision = view.cluster, view.revision
        self.items = {item_key(item): item for item in view.items}

    async def _persist(self, write: Callable[[], None]) -> None:
        """Write to the disk, unless there is none or it has failed.

        After a disk failure the host continues without a disk, as it couldn't apply any
        further change otherwise. The files are then out of date, so after the next
        start the host polls its region before it uses them.
        """
        if not self.durable:
            return
        try:
            await curio.run_in_thread(write)
        except StorageError as exc:
            _log.error(
                "catalogue not written, continuing without disk", reason=str(exc)
            )
            self.durable = False

    def _append(self, records: list[bytes]) -> None:
        self._log.append(records)
        self._logged += len(records)

    def _write_snapshot(self, view: ViewSnapshot) -> None:
        self._snapshot.save(_encoder.encode(view))
        self._log.rewrite([])
        self._logged = 0


def decode_view(content: bytes) -> ViewSnapshot:
    """Decode a view that ``encoded_view`` returned."""
    return _view_decoder.decode(zlib.decompress(content))
