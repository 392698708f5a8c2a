"""Syncs folders and replaces files atomically."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that new, renamed and removed files survive a power loss."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content.

    The new file is synced before it is renamed: if the rename reached the disk before
    the data, the file would be empty after a power loss. The folder is synced after
    the rename, which could otherwise be lost.
    """
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)
