"""Crash-safe files: a checksummed append-only log and a snapshot.

A write returns only after its data is synced. A torn last write, as a crash can leave
it, is dropped at the next start. Damage elsewhere in a file can't come from a crash;
it raises an error that names the remedy instead of silently losing records. A write for
which there is no room leaves the file as it was.
"""

from ._errors import (
    StorageCorrupt,
    StorageError,
    StorageFailed,
    StorageFull,
    StorageInUse,
)
from ._folder import sync_folder
from ._record_log import RecordLog
from ._snapshot_file import SnapshotFile

__all__ = [
    "RecordLog",
    "SnapshotFile",
    "StorageCorrupt",
    "StorageError",
    "StorageFailed",
    "StorageFull",
    "StorageInUse",
    "sync_folder",
]
