"""Reading the platform's list of targets, on the hosts of the core."""

import random
from collections.abc import Awaitable, Callable

import curio
import msgspec

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_schema.generated.fleet import TargetInfo, TargetList
from bronzepoint_schema.ids import HostName

ReadList = Callable[[], Awaitable[list[TargetInfo]]]
"""Reads the whole list; raises ListUnavailable."""

READ_INTERVAL = 1.0
"""Seconds between two readings. Five hosts of the core make five of the 47 calls a
second that the platform grants; a leaving target is known after 1 s and its lag."""

_log = get_logger("targets")


class ListUnavailable(Exception):
    """The platform's list can't be read now; the message says why."""


class TargetReader:
    """Keeps the newest reading of the list.

    Args:
        name: This host.
        read: Reads the list.
    """

    def __init__(self, name: HostName, read: ReadList) -> None:
        self._name = name
        self._read = read
        self._targets: list[TargetInfo] | None = None
        self._number = 0
        self._read_at = 0.0
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Begin to read."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop reading."""
        if self._task is not None:
            await self._task.cancel()

    def newest(self) -> TargetList | None:
        """Return the newest reading; None: none succeeded yet."""
        if self._targets is None:
            return None
        age = int((monotonic() - self._read_at) * 1000)
        return TargetList(self._number, self._name, age, self._targets)

    async def _run(self) -> None:
        while True:
            began = monotonic()
            try:
                targets = await self._read()
            except ListUnavailable as exc:
                _log.warning("list not read", reason=str(exc))
            else:
                self._take(_cold_since(targets, monotonic() - began), began)
            # Spread, so that the hosts of the core don't ask at the same moment.
            await curio.sleep(READ_INTERVAL * random.uniform(0.9, 1.1))

    def _take(self, targets: list[TargetInfo], began: float) -> None:
        self._read_at = began
        if self._targets is None or _lasting(targets) != _lasting(self._targets):
            self._number += 1
            self._tell_changes(targets)
        self._targets = targets

    def _tell_changes(self, targets: list[TargetInfo]) -> None:
        former = {t.incarnation: t for t in self._targets or []}
        present = {t.incarnation: t for t in targets}
        _log.info(
            "list changed",
            number=self._number,
            targets=len(targets),
            gone=sorted(former.keys() - present.keys()),
            changed=[
                f"{t.incarnation}@{t.address} {t.service}"
                f"{' leaving' if t.leaving else ''} cold {t.cold_ms} ms"
                for name, t in sorted(present.items())
                if name not in former or _lasting([t]) != _lasting([former[name]])
            ],
        )


def _cold_since(targets: list[TargetInfo], elapsed: float) -> list[TargetInfo]:
    """Return the targets with their cold time counted from the asking.

    The list says how long a target stays cold from its answer on. Counted from the
    question, an answer that was held up on its way makes cold targets warm too early,
    and they crash under what they then get.
    """
    late = int(elapsed * 1000)
    return [
        msgspec.structs.replace(target, cold_ms=target.cold_ms + late)
        if target.cold_ms > 0
        else target
        for target in targets
    ]


def _lasting(targets: list[TargetInfo]) -> list[TargetInfo]:
    """Return the targets without what changes with time alone."""
    return [
        msgspec.structs.replace(target, cold_ms=int(target.cold_ms > 0))
        for target in sorted(targets, key=lambda t: t.incarnation)
    ]
