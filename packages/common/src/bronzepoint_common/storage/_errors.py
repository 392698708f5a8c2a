"""Typed errors of the data folder."""

from pathlib import Path


class StorageError(Exception):
    """Base of all errors of the data folder."""


class StorageCorrupt(StorageError):
    """A file holds what no crash can have left: it must not be read on.

    Args:
        path: The damaged file.
        detail: What was found, and where.
    """

    def __init__(self, path: Path, detail: str) -> None:
        self.path = path
        super().__init__(
            f"{path} is damaged: {detail}. Remedy: replace the disk if it is failing, "
            "move the data folder away and start the host with an empty one; it "
            "recovers its state from the other hosts."
        )


class StorageFailed(StorageError):
    """A write or sync failed; what reached the disk is unknown.

    Args:
        path: The file that was written.
        cause: The operating system's error.
    """

    def __init__(self, path: Path, cause: object) -> None:
        self.path = path
        super().__init__(
            f"{path} could not be written: {cause}. Remedy: check that the disk has "
            "space and is healthy, then restart the host."
        )


class StorageInUse(StorageError):
    """Another process holds the data folder.

    Args:
        path: The lock file.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        super().__init__(
            f"{path} is held by another process. Remedy: stop it, or give this host "
            "a data folder of its own in [host] data_folder."
        )
