"""The catalogue as this host holds it, with the newest deltas and its files."""

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
_DELTAS_KEPT = 1024
"""Deltas kept for hosts that are behind; further back they take the whole view."""
_DELTAS_SENT = 256
_COMPACT_EVERY = 500
"""Deltas in the file after which the whole view is written instead."""
_encoder = msgspec.msgpack.Encoder()
_log = get_logger("catalogue")
_delta_decoder = msgspec.msgpack.Decoder(Delta)
_view_decoder = msgspec.msgpack.Decoder(ViewSnapshot)


class HeldCatalogue:
    """The newest catalogue that this host holds; durable where it has a data folder.

    Args:
        folder: The data folder; None: nothing is kept over a restart.

    Attributes:
        cluster: The cluster it belongs to; empty: none yet.
        revision: Its newest revision.
        items: Its items; replaced, never changed in place.
        durable: True where a restart finds it again; False once the disk failed.
    """

    def __init__(self, folder: Path | None) -> None:
        self.cluster = ClusterId("")
        self.revision = Revision(0)
        self.items: dict[ItemKey, CatalogueItem] = {}
        self.durable = folder is not None
        self._log = RecordLog(folder, _NAME) if folder is not None else None
        self._snapshot = SnapshotFile(folder, _NAME) if folder is not None else None
        self._logged = 0
        self._deltas: deque[Delta] = deque(maxlen=_DELTAS_KEPT)
        self._encoded: tuple[Revision, bytes] | None = None

    async def open(self) -> None:
        """Read the files back.

        Raises:
            StorageError: They are damaged, or another process holds them.
        """
        if self._log is None:
            return
        records = await curio.run_in_thread(self._log.open)
        content = await curio.run_in_thread(self._snapshot.load)
        if content is not None:
            self._take(_view_decoder.decode(content))
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
        """Belong to a cluster from now on."""
        await self.replace(ViewSnapshot(cluster, Revision(0), []))

    async def advance(self, deltas: list[Delta]) -> bool:
        """Apply those deltas that are new; False where one in between is missing."""
        new = [delta for delta in deltas if delta.revision > self.revision]
        if not new:
            return True
        if new[0].revision != self.revision + 1:
            return False
        async with curio.disable_cancellation():
            records = [_encoder.encode(delta) for delta in new]
            await self._keep(lambda: self._append(records))
            for delta in new:
                self._apply(delta)
            if self._logged >= _COMPACT_EVERY:
                view = self._as_view()
                await self._keep(lambda: self._write_whole(view))
        return True

    async def replace(self, view: ViewSnapshot) -> None:
        """Take a whole view that is newer."""
        async with curio.disable_cancellation():
            await self._keep(lambda: self._write_whole(view))
            self._take(view)
            self._deltas.clear()

    def deltas_after(self, revision: Revision) -> list[Delta] | None:
        """Return what follows a revision next; None where that is too far back."""
        if revision >= self.revision:
            return []
        missing = self.revision - revision
        if missing > min(len(self._deltas), _DELTAS_SENT):
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

    def _take(self, view: ViewSnapshot) -> None:
        self.cluster, self.revision = view.cluster, view.revision
        self.items = {item_key(item): item for item in view.items}

    async def _keep(self, write: Callable[[], None]) -> None:
        """Write to the disk, where there is one that works.

        With a failed disk the host goes on like one without: it could serve no
        change any more otherwise. What the disk holds is old from then on; the next
        start asks the region before it serves on that.
        """
        if not self.durable:
            return
        try:
            await curio.run_in_thread(write)
        except StorageError as exc:
            _log.error("catalogue goes on without its disk", reason=str(exc))
            self.durable = False

    def _append(self, records: list[bytes]) -> None:
        self._log.append(records)
        self._logged += len(records)

    def _write_whole(self, view: ViewSnapshot) -> None:
        self._snapshot.save(_encoder.encode(view))
        self._log.rewrite([])
        self._logged = 0


def decode_view(content: bytes) -> ViewSnapshot:
    """Return the view that ``encoded_view`` gave."""
    return _view_decoder.decode(zlib.decompress(content))
