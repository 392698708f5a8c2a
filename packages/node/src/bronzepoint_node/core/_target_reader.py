"""Periodic reading of the platform's target list on a core host."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import msgspec

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_schema.generated.fleet import TargetInfo, TargetList
from bronzepoint_schema.ids import DataCenterName, RegionName

from ._target_listing import TargetListing, content_digest, without_countdown
from ._version_history import VersionHistory

ReadList = Callable[[], Awaitable[list[TargetInfo]]]
"""Reads the whole list; raises ListUnavailable if that fails."""

READ_INTERVAL = 1.0
"""Seconds between two readings. Five core hosts then make five of the 47 calls a second
that the platform allows; a leaving target is known after 1 s plus the list's lag."""

_log = get_logger("targets")


@dataclass(frozen=True)
class Reading:
    """One reading of the whole list.

    Attributes:
        targets: All targets of the list.
        age: Seconds since the list was requested.
    """

    targets: list[TargetInfo]
    age: float


class ListUnavailable(Exception):
    """The platform's target list can't be read; the message gives the reason."""


class TargetReader:
    """Reads the list periodically and keeps the newest reading.

    Args:
        read: Reads the list.
        region_of: Returns the region of a data center, or None if it is unknown.

    Attributes:
        history: Software versions of the last minute.
    """

    def __init__(
        self,
        read: ReadList,
        region_of: Callable[[DataCenterName], RegionName | None],
    ) -> None:
        self._read = read
        self._listing = TargetListing(region_of)
        self.history = VersionHistory(region_of)
        self._targets: list[TargetInfo] | None = None
        self._digest = ""
        self._read_at = 0.0
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start reading."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            await self._task.cancel()

    def newest(self) -> Reading | None:
        """Return the newest reading, or None if none has succeeded yet."""
        if self._targets is None:
            return None
        return Reading(self._targets, monotonic() - self._read_at)

    @property
    def age_ms(self) -> int:
        """Milliseconds since the newest reading; -1 if there is none."""
        if self._targets is None:
            return -1
        return int((monotonic() - self._read_at) * 1000)

    def changes_since(self, region: RegionName, known: str) -> TargetList | None:
        """Return the changes to a region's targets that a host lacks, or None.

        Args:
            region: Region of the host.
            known: Digest of the list that the host holds; empty if it holds none.
        """
        if self._targets is None:
            return None
        return self._listing.changes_since(region, known, self.age_ms)

    async def _run(self) -> None:
        while True:
            began = monotonic()
            try:
                targets = await self._read()
            except ListUnavailable as exc:
                _log.warning("list not read", reason=str(exc))
            else:
                self._update(_cold_from_request(targets, monotonic() - began), began)
            # Jitter keeps the core hosts from reading at the same moment.
            await curio.sleep(READ_INTERVAL * random.uniform(0.9, 1.1))

    def _update(self, targets: list[TargetInfo], began: float) -> None:
        self._read_at = began
        self.history.update(targets, began)
        digest = content_digest(targets)
        if digest != self._digest:
            self._log_changes(targets)
            self._listing.update(targets)
            self._digest = digest
        self._targets = targets

    def _log_changes(self, targets: list[TargetInfo]) -> None:
        former = {t.incarnation: t for t in self._targets or []}
        present = {t.incarnation: t for t in targets}
        _log.info(
            "list changed",
            targets=len(targets),
            gone=sorted(former.keys() - present.keys()),
            changed=[
                f"{t.incarnation}@{t.address} {t.service} {t.software_version}"
                f"{' leaving' if t.leaving else ''} cold {t.cold_ms} ms"
                for name, t in sorted(present.items())
                if name not in former
                or without_countdown(t) != without_countdown(former[name])
            ],
        )


def _cold_from_request(targets: list[TargetInfo], elapsed: float) -> list[TargetInfo]:
    """Return the targets with their cold time counted from the request.

    The list gives the cold time that remains when it is sent, but a reading's age
    counts from the request. Without this correction, a delayed answer would make cold
    targets count as warm too early, and they would crash under the load.
    """
    delay_ms = int(elapsed * 1000)
    return [
        msgspec.structs.replace(target, cold_ms=target.cold_ms + delay_ms)
        if target.cold_ms > 0
        else target
        for target in targets
    ]
