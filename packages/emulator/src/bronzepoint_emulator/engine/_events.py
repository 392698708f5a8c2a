"""Cache events as the platform publishes them: late and with gaps."""

import random
import time
from collections import deque

from bronzepoint_schema.generated.platform import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
)

KEPT_EVENTS = 2000


class EventLog:
    """Numbers events, loses some and shows the rest after a while.

    Args:
        lag: Seconds until an event is shown.
        loss: Share of the events that are never shown.
        seed: Seed of the losses.
    """

    def __init__(self, lag: float, loss: float, seed: int) -> None:
        self._lag = lag
        self._loss = loss
        self._random = random.Random(seed)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=KEPT_EVENTS)
        self._number = 0

    def add(self, kind: CacheEventKind, blocks: list[str]) -> None:
        """Number an event; keep it unless it is one of those that get lost."""
        self._number += 1
        if self._random.random() < self._loss:
            return
        event = CacheEvent(self._number, kind, list(blocks))
        self._events.append((time.time(), event))

    def after(self, number: int) -> CacheEvents:
        """Return the events with a greater number that may be shown by now."""
        as_of = time.time() - self._lag
        events = [
            event
            for added, event in self._events
            if event.number > number and added <= as_of
        ]
        return CacheEvents(events=events, as_of=as_of)
