"""An append-only log of records; each write is synced before it returns."""

import fcntl
import os
import threading
from pathlib import Path

import msgspec

from bronzepoint_common.logs import get_logger

from ._errors import StorageCorrupt, StorageFailed, StorageInUse
from ._folder import replace_file, sync_folder
from ._frames import decode_frame, encode_frame, find_frame

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

        Raises:
            StorageInUse: Another process has locked the log.
            StorageCorrupt: The file is damaged before its last frame.
        """
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self._lock()
        try:
            return self._read()
        except BaseException:
            self.close()
            raise

    def append(self, records: list[bytes]) -> None:
        """Append records; on return they are on the disk.

        Raises:
            StorageFailed: The write failed; the log rejects writes until reopened.
        """
        with self._mutex:
            self._check_usable()
            frame = encode_frame(self._sequence + 1, _encoder.encode(records))
            try:
                self._write(frame)
            except OSError as exc:
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
            StorageFailed: The write failed; the log rejects writes until reopened.
        """
        with self._mutex:
            self._check_usable()
            content = encode_frame(1, _encoder.encode(records))
            try:
                replace_file(self.path, content)
                os.close(self._file)
                self._file = os.open(self.path, os.O_RDWR | os.O_APPEND)
            except OSError as exc:
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

    def _read(self) -> list[bytes]:
        self._failure = None
        self._sequence = 0
        created = not self.path.exists()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self._file = os.open(self.path, flags, 0o600)
        if created:
            sync_folder(self.path.parent)
        content = self.path.read_bytes()
        records: list[bytes] = []
        end = 0
        while (frame := decode_frame(content, end)) is not None:
            if frame.sequence != self._sequence + 1:
                detail = f"frame {frame.sequence} follows frame {self._sequence}"
                raise StorageCorrupt(self.path, detail)
            records.extend(_decoder.decode(frame.payload))
            self._sequence = frame.sequence
            end = frame.end
        self.size = end
        self._drop_torn_tail(content, end)
        return records

    def _drop_torn_tail(self, content: bytes, end: int) -> None:
        """Truncate a last write that was interrupted by a crash.

        Each append is synced before the next one begins, so a crash can tear only the
        last frame. An undamaged frame after a damaged one means that acknowledged
        records are damaged: without them this host would break promises that it has
        made to other hosts.
        """
        self.dropped = len(content) - end
        if self.dropped == 0:
            return
        if find_frame(content, end + 1, self._sequence) is not None:
            detail = f"checksum error at offset {end}, but later frames are valid"
            raise StorageCorrupt(self.path, detail)
        _log.warning("torn write dropped", bytes=self.dropped, file=str(self.path))
        os.ftruncate(self._file, end)
        os.fsync(self._file)

    def _write(self, frame: bytes) -> None:
        written = 0
        while written < len(frame):
            written += os.write(self._file, frame[written:])
        os.fdatasync(self._file)

    def _check_usable(self) -> None:
        if self._failure is not None:
            raise self._failure
        if self._file is None:
            raise StorageFailed(self.path, "the log is closed")
