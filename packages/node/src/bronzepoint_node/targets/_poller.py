"""Polls of one target for its load and its cache events."""

import itertools
import random
import time
from collections.abc import Callable

import curio
import msgspec

from bronzepoint_common.background import spawn_background
from bronzepoint_common.decoding import Undecodable, decode
from bronzepoint_common.http import (
    ConnectFailed,
    HttpClient,
    HttpError,
    NotSent,
    Unframed,
)
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.targets._byte_budget import ByteBudget
from bronzepoint_node.targets._tracked_target import TrackedTarget
from bronzepoint_schema.generated.platform import CacheEvents, LoadReport

_TIMEOUT_SECONDS = 2.0
_KEEP_ALIVE_MAX_INTERVAL_SECONDS = 4.0
"""Longest poll interval for which the connection is kept open between polls."""
_LOAD_POLLS_PER_EVENT_POLL = 2
"""Number of load polls for each poll of cache events."""
_load_decoder = msgspec.json.Decoder(LoadReport)
_events_decoder = msgspec.json.Decoder(CacheEvents)


class Poller:
    """Polls one target sequentially.

    Args:
        tracked: Receives the reports and events.
        http: Connections to targets.
        interval: Returns the seconds between two polls, which depend on the number of
            targets that this host polls.
        event_budget: Bound on the bytes of cache events, shared by all pollers.
        on_report: Called after each report.
        metrics: Counts polls.
    """

    def __init__(
        self,
        tracked: TrackedTarget,
        http: HttpClient,
        interval: Callable[[], float],
        event_budget: ByteBudget,
        on_report: Callable[[TrackedTarget], None],
        metrics: Metrics,
    ) -> None:
        self._tracked = tracked
        self._http = http
        self._interval = interval
        self._event_budget = event_budget
        self._on_report = on_report
        self._metrics = metrics
        self._task: curio.Task | None = None

    @property
    def tracked(self) -> TrackedTarget:
        """The target that is polled."""
        return self._tracked

    async def start(self) -> None:
        """Start polling."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        await self._poll_load()
        # All hosts see a new target at the same time. The random delay keeps their
        # polls of it from coinciding.
        await curio.sleep(random.random() * self._interval())
        for number in itertools.count():
            await self._poll_load()
            if self._events_are_due(number):
                await self._poll_events()
            await curio.sleep(self._interval())

    def _events_are_due(self, number: int) -> bool:
        due = number % _LOAD_POLLS_PER_EVENT_POLL == 0
        return due and self._event_budget.wait(time.monotonic()) == 0

    async def _poll_load(self) -> None:
        body = await self._get("/load")
        if body is None:
            return
        try:
            report = decode(_load_decoder, body)
        except Undecodable:
            self._metrics.incr("targets.poll_failed.malformed")
            return
        self._tracked.note_report(report, time.time())
        self._on_report(self._tracked)

    async def _poll_events(self) -> None:
        memory = self._tracked.memory
        body = await self._get(f"/cache/events?after={memory.last_event}")
        if body is None:
            return
        now = time.monotonic()
        self._event_budget.charge(len(body), now)
        try:
            answer = decode(_events_decoder, body)
        except Undecodable:
            self._metrics.incr("targets.poll_failed.malformed")
            return
        gaps = memory.gaps
        memory.note_events(answer.events, now)
        self._metrics.incr("targets.event_gaps", memory.gaps - gaps)

    async def _get(self, path: str) -> bytes | None:
        address = self._tracked.target.address
        new_connection = self._interval() > _KEEP_ALIVE_MAX_INTERVAL_SECONDS
        self._metrics.incr("targets.polls")
        try:
            answer = await self._http.fetch(
                address,
                "GET",
                path,
                {},
                b"",
                _TIMEOUT_SECONDS,
                new_connection,
                unframed=Unframed.ACCEPTED,
            )
        except ConnectFailed:
            # The next process at this address numbers its events from the start, and
            # its cache is cold.
            self._tracked.failed_polls += 1
            self._tracked.memory.reset()
            self._metrics.incr("targets.poll_failed.connect")
            return None
        except NotSent:
            self._tracked.memory.reset()
            self._metrics.incr("targets.poll_failed.not_sent")
            return None
        except HttpError as exc:
            self._metrics.incr(f"targets.poll_failed.{type(exc).__name__}")
            return None
        self._tracked.failed_polls = 0
        return answer.body if answer.status == 200 else None
