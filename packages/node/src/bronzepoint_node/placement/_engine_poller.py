"""Polling of the region's engines for their load."""

from collections.abc import Awaitable, Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger

from ._target_table import TargetTable
from ._tracked_target import EngineReport, TrackedTarget

ReadReport = Callable[[str, str], Awaitable[EngineReport]]
"""Reads the load report of the engine at an address, for a given incarnation. Raises
ReportUnavailable, ReportUnreadable or ReportOfOtherStart."""

POLL_INTERVAL = 0.8
"""Seconds between two polls of an engine. The hosts report their requests in progress
to each other; the engine's report only corrects the sum, and it is paid for."""
RETRY_INTERVAL = 0.2
"""Seconds after which an engine that did not answer is polled again."""
MAX_POLLS = 100.0
"""Polls per second of one host, over all engines; with more engines each is polled less
often."""
MAX_POLLS_PER_ENGINE = 10.0
"""Polls per second that one engine gets from all hosts of its region together."""

_log = get_logger("targets")


class ReportUnavailable(Exception):
    """An engine gave no load report; the message says why."""


class ReportUnreadable(Exception):
    """An engine's load report could not be parsed; the message says why."""


class ReportOfOtherStart(Exception):
    """An engine has restarted under the same id; the message says when."""


class EnginePoller:
    """Polls each engine in a task of its own.

    Args:
        table: Targets of the region.
        read: Reads the report of one engine.
        hosts: Returns the number of entry hosts that poll the same engines; 0 if
            another host polls them and reports the result to this one.
    """

    def __init__(
        self, table: TargetTable, read: ReadReport, hosts: Callable[[], int]
    ) -> None:
        self._table = table
        self._read = read
        self._hosts = hosts
        self._tasks: dict[str, curio.Task] = {}
        self._unreadable: dict[str, str] = {}
        self._run: curio.Task | None = None

    async def start(self) -> None:
        """Start polling."""
        self._run = await spawn_background(self._manage_tasks)

    async def close(self) -> None:
        """Stop polling."""
        if self._run is not None:
            await self._run.cancel()
        for task in self._tasks.values():
            await task.cancel()

    async def _manage_tasks(self) -> None:
        while True:
            names = {t.info.incarnation for t in self._table.all() if t.engine}
            for name in names - self._tasks.keys():
                self._tasks[name] = await spawn_background(self._poll_repeatedly, name)
            for name in self._tasks.keys() - names:
                self._unreadable.pop(name, None)
                await self._tasks.pop(name).cancel()
            await curio.sleep(POLL_INTERVAL)

    async def _poll_repeatedly(self, name: str) -> None:
        while True:
            tracked = self._table.get(name)
            hosts = self._hosts()
            if tracked is None or not hosts:
                await curio.sleep(POLL_INTERVAL)
                continue
            await self._poll(tracked)
            pause = RETRY_INTERVAL if tracked.failed_reports else POLL_INTERVAL
            fair = max(hosts / MAX_POLLS_PER_ENGINE, len(self._tasks) / MAX_POLLS)
            await curio.sleep(max(pause, fair))

    async def _poll(self, tracked: TrackedTarget) -> None:
        polled_at = monotonic()
        runs = tracked.load.in_flight(polled_at)
        name = tracked.info.incarnation
        try:
            report = await self._read(tracked.info.address, name)
        except ReportUnavailable as exc:
            if not tracked.failed_reports:
                _log.warning("no report", target=name, reason=str(exc))
            tracked.record_failure(monotonic())
        except ReportUnreadable as exc:
            # The engine answers, so it may get requests, but its load stays unknown.
            self._log_unreadable(name, str(exc))
            tracked.record_contact(monotonic())
        except ReportOfOtherStart as exc:
            # The list of targets is outdated. Until it names the new incarnation, data
            # about the former one would be attributed to the new one.
            if not tracked.replaced:
                _log.warning("target started anew", target=name, reason=str(exc))
            tracked.record_replacement()
        else:
            self._unreadable.pop(name, None)
            tracked.apply_report(report, polled_at, runs)

    def _log_unreadable(self, name: str, reason: str) -> None:
        """Log why an engine's report is unreadable, once per reason."""
        if self._unreadable.get(name) != reason:
            self._unreadable[name] = reason
            _log.warning("report not read", target=name, reason=reason)
