"""Reads the settings file again when it changes."""

from collections.abc import Callable
from pathlib import Path

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.logs import get_logger
from bronzepoint_common.settings import SettingsErrorGroup, load_settings
from bronzepoint_schema.generated.settings import Settings

CHECK_INTERVAL = 5.0
"""Seconds between two checks for a changed file; SIGHUP causes one at once."""

_log = get_logger("settings")


class SettingsWatcher:
    """Passes changed settings on; an invalid file leaves the former ones in effect.

    Args:
        path: The settings file.
        on_change: Receives the new settings.
    """

    def __init__(self, path: Path, on_change: Callable[[Settings], None]) -> None:
        self._path = path
        self._on_change = on_change
        self._content = self._read()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start checking the file."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop checking the file."""
        if self._task is not None:
            await self._task.cancel()

    def check(self) -> None:
        """Read the file if its content has changed."""
        content = self._read()
        if content == self._content:
            return
        self._content = content
        try:
            settings = load_settings(self._path)
        except SettingsErrorGroup as group:
            for exc in group.exceptions:
                _log.error("changed settings not used", reason=str(exc))
            return
        self._on_change(settings)
        _log.info("hosts of the settings read again", hosts=sorted(settings.peers))

    async def _run(self) -> None:
        while True:
            await curio.sleep(CHECK_INTERVAL)
            self.check()

    def _read(self) -> bytes:
        try:
            return self._path.read_bytes()
        except OSError:
            # A file that is being replaced may be missing for a moment.
            return b""


__all__ = ["SettingsWatcher"]
