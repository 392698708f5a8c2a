"""Polls of one target: its load, and the events of its cache."""

import itertools
import random
import time
from collections.abc import Callable

import curio
import msgspec

from bronzepoint_common.http import ConnectFailed, HttpClient, HttpError, NotSent
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.targets._byte_budget import ByteBudget
from bronzepoint_node.targets._tracked_target import TrackedTarget
from bronzepoint_schema.generated.platform import CacheEvents, LoadReport

_TIMEOUT = 2.0
_KEPT_INTERVAL = 4.0
"""Below this interval a connection is kept from one poll to the next."""
_LOADS_FOR_EVENTS = 2
"""Polls of the load for each one of the cache's events."""
_load_decoder = msgspec.json.Decoder(LoadReport)
_events_decoder = msgspec.json.Decoder(CacheEvents)


class Poller:
    """Polls one target, one poll after another.

    Args:
        tracked: Takes what is heard.
        http: Connections to targets.
        interval: Returns the seconds between two polls, which depend on how many
            targets this host polls.
        events: Bound on the bytes of cache events, shared by all pollers.
        heard: Called after each report.
        metrics: Counts polls.
    """

    def __init__(
        self,
        tracked: TrackedTarget,
        http: HttpClient,
        interval: Callable[[], float],
        events: ByteBudget,
        heard: Callable[[TrackedTarget], None],
        metrics: Metrics,
    ) -> None:
        self._tracked = tracked
        self._http = http
        self._interval = interval
        self._events = events
        self._heard = heard
        self._metrics = metrics
        self._task: curio.Task | None = None

    @property
    def tracked(self) -> TrackedTarget:
        """The target that is polled."""
        return self._tracked

    async def start(self) -> None:
        """Begin to poll."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        await self._poll_load()
        # All hosts learn of a new target at once; from here on their polls of it
        # must not come at once too.
        await curio.sleep(random.random() * self._interval())
        for number in itertools.count():
            await self._poll_load()
            if self._events_are_due(number):
                await self._poll_events()
            await curio.sleep(self._interval())

    def _events_are_due(self, number: int) -> bool:
        due = number % _LOADS_FOR_EVENTS == 0
        return due and self._events.wait(time.monotonic()) == 0

    async def _poll_load(self) -> None:
        body = await self._get("/load")
        if body is None:
            return
        try:
            report = _load_decoder.decode(body)
        except msgspec.MsgspecError:
            self._metrics.incr("targets.poll_failed.malformed")
            return
        self._tracked.note_report(report, time.time())
        self._heard(self._tracked)

    async def _poll_events(self) -> None:
        memory = self._tracked.memory
        body = await self._get(f"/cache/events?after={memory.last_event}")
        if body is None:
            return
        now = time.monotonic()
        self._events.charge(len(body), now)
        try:
            answer = _events_decoder.decode(body)
        except msgspec.MsgspecError:
            self._metrics.incr("targets.poll_failed.malformed")
            return
        gaps = memory.gaps
        memory.note_events(answer.events, now)
        self._metrics.incr("targets.event_gaps", memory.gaps - gaps)

    async def _get(self, path: str) -> bytes | None:
        address = self._tracked.target.address
        fresh = self._interval() > _KEPT_INTERVAL
        self._metrics.incr("targets.polls")
        try:
            answer = await self._http.fetch(
                address, "GET", path, {}, b"", _TIMEOUT, fresh
            )
        except ConnectFailed:
            # Whatever comes back at this address is a new process: it numbers its
            # events from the start, and its cache is cold.
            self._tracked.failed_polls += 1
            self._tracked.memory.restart()
            self._metrics.incr("targets.poll_failed.connect")
            return None
        except NotSent:
            self._tracked.memory.restart()
            self._metrics.incr("targets.poll_failed.not_sent")
            return None
        except HttpError as exc:
            self._metrics.incr(f"targets.poll_failed.{type(exc).__name__}")
            return None
        self._tracked.failed_polls = 0
        return answer.body if answer.status == 200 else None
