"""Syncing of folders and atomic replacement of files."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Make created, renamed and removed names of a folder survive a power loss."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content.

    The new file is synced before it gets the name: a rename that reached the disk
    before the data would show an empty file after a power loss. The folder is synced
    after it: the rename itself could be lost otherwise.
    """
    temporary = path.with_name(path.name + ".new")
    with open(temporary, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)
