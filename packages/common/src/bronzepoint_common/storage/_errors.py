"""Errors of the data folder."""

from pathlib import Path


class StorageError(Exception):
    """Base class of all errors of the data folder."""


class StorageCorrupt(StorageError):
    """A file has damage that a crash can't have caused; it must not be used.

    Args:
        path: The damaged file.
        detail: Kind and location of the damage.
    """

    def __init__(self, path: Path, detail: str) -> None:
        self.path = path
        super().__init__(
            f"{path} is damaged: {detail}. Remedy: replace the disk if it is failing, "
            "move the data folder away and start the host with an empty one; it "
            "recovers its state from the other hosts."
        )


class StorageFailed(StorageError):
    """A write or sync failed; it is unknown which data has reached the disk.

    Args:
        path: The file that was written.
        cause: Error of the operating system, or another reason.

    Attributes:
        remedy: What an operator can do.
    """

    remedy = "check that the disk has space and is healthy, then restart the host"

    def __init__(self, path: Path, cause: object) -> None:
        self.path = path
        super().__init__(
            f"{path} could not be written: {cause}. Remedy: {self.remedy}."
        )


class StorageFull(StorageFailed):
    """There was no room for a write; the file holds what it held before.

    It can be written again as soon as there is room.
    """

    remedy = "free space on the disk; the host continues by itself"


class StorageInUse(StorageError):
    """Another process has locked the data folder.

    Args:
        path: The lock file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        super().__init__(
            f"{path} is locked by another process. Remedy: stop it, or give this host "
            "a data folder of its own in [host] data_folder."
        )
