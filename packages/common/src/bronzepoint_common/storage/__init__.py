"""Files that survive a crash: a checksummed append log and a snapshot.

Nothing is reported as kept before it is synced. What a crash may leave (a last write
that is torn) is mended at the next start; what it can't explain (damage in the
middle) is an error that names its remedy, never a silent gap.
"""

from ._errors import StorageCorrupt, StorageError, StorageFailed, StorageInUse
from ._folder import sync_folder
from ._record_log import RecordLog
from ._snapshot_file import SnapshotFile

__all__ = [
    "RecordLog",
    "SnapshotFile",
    "StorageCorrupt",
    "StorageError",
    "StorageFailed",
    "StorageInUse",
    "sync_folder",
]
