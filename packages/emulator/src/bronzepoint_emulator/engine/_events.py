"""Cache events as the platform publishes them: delayed and with gaps."""

import random
import time
from collections import deque

from bronzepoint_schema.generated.platform import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
)

MAX_EVENTS = 2000
"""Number of events kept; older ones are dropped."""


class EventLog:
    """Numbers events, drops some and publishes the rest after a lag.

    Args:
        lag: Seconds until an event is published.
        loss: Share of events that are never published.
        seed: Seed that selects the dropped events.
    """

    def __init__(self, lag: float, loss: float, seed: int) -> None:
        self._lag = lag
        self._loss = loss
        self._random = random.Random(seed)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._number = 0

    def add(self, kind: CacheEventKind, blocks: list[str]) -> None:
        """Number an event and store it, unless it is drawn as lost."""
        self._number += 1
        if self._random.random() < self._loss:
            return
        event = CacheEvent(self._number, kind, list(blocks))
        self._events.append((time.time(), event))

    def after(self, number: int) -> CacheEvents:
        """Return the published events with a greater number."""
        as_of = time.time() - self._lag
        events = [
            event
            for added, event in self._events
            if event.number > number and added <= as_of
        ]
        return CacheEvents(events=events, as_of=as_of)
