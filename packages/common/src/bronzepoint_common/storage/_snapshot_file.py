"""A file that holds one value and is replaced as a whole."""

from pathlib import Path

from ._errors import StorageCorrupt, StorageFailed, StorageFull
from ._folder import NO_ROOM, replace_file
from ._frames import decode_frame, encode_frame


class SnapshotFile:
    """A file with one checksummed value, replaced atomically.

    All methods block on the disk: call them with ``curio.run_in_thread``.

    Args:
        folder: Folder of the file; created if missing.
        name: Name of the snapshot; the file is ``<name>.snapshot``.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.path = Path(folder) / f"{name}.snapshot"

    def load(self) -> bytes | None:
        """Return the value last saved, or None if there is none.

        Raises:
            StorageCorrupt: The file fails its checksum.
        """
        try:
            content = self.path.read_bytes()
        except FileNotFoundError:
            return None
        frame = decode_frame(content, 0)
        if frame is None or frame.end != len(content):
            raise StorageCorrupt(self.path, "checksum error")
        return frame.payload

    def save(self, value: bytes) -> None:
        """Replace the value; on return it is on the disk.

        Raises:
            StorageFull: There is no room; the old value is still there.
            StorageFailed: The write failed; the old value is still there.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            replace_file(self.path, encode_frame(1, value))
        except OSError as exc:
            if exc.errno in NO_ROOM:
                raise StorageFull(self.path, exc) from exc
            raise StorageFailed(self.path, exc) from exc
