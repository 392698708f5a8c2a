"""An append-only log of records; each write is synced before it returns."""

import fcntl
import os
import threading
from collections.abc import Callable
from pathlib import Path

import msgspec

from bronzepoint_common.logs import get_logger

from ._errors import StorageCorrupt, StorageFailed, StorageFull, StorageInUse
from ._folder import NO_ROOM, put_in_place, sync_folder, write_all, write_beside
from ._frames import encode_frame, find_frame, read_frame

_log = get_logger("storage")
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[bytes])


class RecordLog:
    """Append-only log in one file; each append is atomic.

    All methods block on the disk: call them with ``curio.run_in_thread``.

    Args:
        folder: Folder of the file; created if missing.
        name: Name of the log; the file is ``<name>.log``.

    Attributes:
        dropped: Bytes of a torn last write that ``open`` removed.
        size: Size of the file in bytes.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self.path = Path(folder) / f"{name}.log"
        self.dropped = 0
        self.size = 0
        self._lock_path = self.path.with_suffix(".lock")
        self._lock_file: int | None = None
        self._file: int | None = None
        self._sequence = 0
        self._failure: Exception | None = None
        self._mutex = threading.Lock()

    def open(self) -> list[bytes]:
        """Open or create the file and return its records, oldest first.

        Raises the same errors as `replay`.
        """
        records: list[bytes] = []
        self.replay(records.append)
        return records

    def replay(self, handle: Callable[[bytes], None]) -> None:
        """Open or create the file and pass on its records, oldest first.

        One frame at a time is held in memory.

        Raises:
            StorageInUse: Another process has locked the log.
            StorageCorrupt: The file is damaged before its last frame.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._lock()
        try:
            self._read(handle)
        except BaseException:
            self.close()
            raise

    def append(self, records: list[bytes]) -> None:
        """Append records; on return they are on the disk.

        Raises:
            StorageFull: There is no room for them; the log is as it was.
            StorageFailed: The write failed; the log rejects writes until reopened.
        """
        with self._mutex:
            self._check_usable()
            frame = encode_frame(self._sequence + 1, _encoder.encode(records))
            try:
                write_all(self._file, frame)
                os.fdatasync(self._file)
            except OSError as exc:
                if exc.errno in NO_ROOM:
                    self._drop_partial_frame()
                    raise StorageFull(self.path, exc) from exc
                # After a failed sync the kernel may drop the dirty pages and report
                # success for the next sync: a later append would be acknowledged
                # although data before it is lost. So all writes are rejected until
                # the file is read again.
                self._failure = StorageFailed(self.path, exc)
                raise self._failure from exc
            self._sequence += 1
            self.size += len(frame)

    def rewrite(self, records: list[bytes]) -> None:
        """Replace all records; a crash leaves either the old or the new ones.

        Raises:
            StorageFull: There is no room for them; the log is as it was.
            StorageFailed: The write failed; the log rejects writes until reopened.
        """
        with self._mutex:
            self._check_usable()
            content = encode_frame(1, _encoder.encode(records))
            written = False
            try:
                temporary = write_beside(self.path, content)
                written = True
                put_in_place(temporary, self.path)
                os.close(self._file)
                self._file = os.open(self.path, os.O_RDWR | os.O_APPEND)
            except OSError as exc:
                if exc.errno in NO_ROOM and not written:
                    raise StorageFull(self.path, exc) from exc
                self._failure = StorageFailed(self.path, exc)
                raise self._failure from exc
            self._sequence = 1
            self.size = len(content)

    def close(self) -> None:
        """Close the file after any write in progress; idempotent."""
        with self._mutex:
            for descriptor in (self._file, self._lock_file):
                if descriptor is not None:
                    os.close(descriptor)
            self._file = None
            self._lock_file = None

    def _lock(self) -> None:
        flags = os.O_RDWR | os.O_CREAT
        self._lock_file = os.open(self._lock_path, flags, 0o600)
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            self.close()
            raise StorageInUse(self._lock_path) from exc

    def _read(self, handle: Callable[[bytes], None]) -> None:
        self._failure = None
        self._sequence = 0
        created = not self.path.exists()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._file = os.open(self.path, flags, 0o600)
        if created:
            sync_folder(self.path.parent)
        size = os.fstat(self._file).st_size
        end = 0
        with open(self.path, "rb") as file:
            while (frame := read_frame(file, end, size)) is not None:
                if frame.sequence != self._sequence + 1:
                    detail = f"frame {frame.sequence} follows frame {self._sequence}"
                    raise StorageCorrupt(self.path, detail)
                for record in _decoder.decode(frame.payload):
                    handle(record)
                self._sequence = frame.sequence
                end = frame.end
            self.size = end
            # Each append is synced before the next one begins, so a crash can tear
            # only the last frame. An undamaged frame after a damaged one means that
            # acknowledged records are damaged: without them this host would break
            # promises that it has made to other hosts.
            if find_frame(file, end + 1, self._sequence, size) is not None:
                detail = f"checksum error at offset {end}, but later frames are valid"
                raise StorageCorrupt(self.path, detail)
        self.dropped = size - end
        if self.dropped:
            _log.warning("torn write dropped", bytes=self.dropped, file=str(self.path))
            self._truncate()

    def _drop_partial_frame(self) -> None:
        """Restore the file after an append for which there was no room.

        All data before the partial frame was synced by earlier appends, so nothing but
        that frame can be missing on the disk.

        Raises:
            StorageFailed: The file can't be restored; it must be read again.
        """
        try:
            self._truncate()
        except OSError as exc:
            self._failure = StorageFailed(self.path, exc)
            raise self._failure from exc

    def _truncate(self) -> None:
        """Truncate the file to its complete frames."""
        os.ftruncate(self._file, self.size)
        os.fsync(self._file)

    def _check_usable(self) -> None:
        if self._failure is not None:
            raise self._failure
        if self._file is None:
            raise StorageFailed(self.path, "the log is closed")
