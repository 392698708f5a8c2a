"""Syncs folders and replaces files atomically."""

import errno
import os
from pathlib import Path

NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
"""Errors of a write for which the disk, a quota or a limit on files has no room."""


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that new, renamed and removed files survive a power loss."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content."""
    put_in_place(write_beside(path, content), path)


def write_beside(path: Path, content: bytes) -> Path:
    """Write the next content of a file beside it and sync it; return its path.

    It is synced before it is renamed: if the rename reached the disk before the data,
    the file would be empty after a power loss.
    """
    temporary = path.with_name(path.name + ".new")
    try:
        with open(temporary, "wb", buffering=0) as file:
            write_all(file.fileno(), content)
            os.fsync(file.fileno())
    except OSError:
        # The part that was written takes room that others need.
        temporary.unlink(missing_ok=True)
        raise
    return temporary


def put_in_place(temporary: Path, path: Path) -> None:
    """Rename a file to its place, and sync the folder so that this isn't lost."""
    os.replace(temporary, path)
    sync_folder(path.parent)


def write_all(descriptor: int, content: bytes) -> None:
    """Write all bytes; a write may take only a part of them at a time."""
    left = memoryview(content)
    while left:
        left = left[os.write(descriptor, left) :]
