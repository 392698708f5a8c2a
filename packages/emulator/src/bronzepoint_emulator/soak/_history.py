"""What happened during a run, as those outside the system saw it."""

import threading
import time
from collections.abc import Iterator
from enum import StrEnum
from typing import TypeVar

from msgspec import Struct, field

E = TypeVar("E", bound="Event")


class CallKind(StrEnum):
    """What a caller asked for."""

    chat = "chat"
    """A model call that may go anywhere."""
    clinic = "clinic"
    """A model call that must stay in its home region."""
    save = "save"
    """A non-idempotent service call that must stay in its home region."""


class Ending(StrEnum):
    """How a call or change ended for the one who sent it."""

    answered = "answered"
    refused = "refused"
    lost = "lost"
    """No answer, or a cut one: it may have run."""


class Event(Struct, kw_only=True):
    """Something that began and ended, in seconds after the start of the run."""

    began: float
    ended: float


class CallEvent(Event, kw_only=True):
    """One try of a caller.

    Attributes:
        home: The caller's region.
        nonce: What the answer must echo.
        ran: What a refusal says of the run: no or unknown.
        echo: What the answer echoed.
        whole: Whether the answer had every part that was asked for.
        body: Body of a saved call's answer.
    """

    host: str
    home: str
    kind: CallKind
    nonce: str
    ending: Ending
    key: str = ""
    request_id: str = ""
    status: int = 0
    refusal: str = ""
    ran: str = ""
    echo: str = ""
    whole: bool = False
    body: bytes = b""
    error: str = ""


class ChangeEvent(Event, kw_only=True):
    """One try of an operator to change the contested item.

    Attributes:
        value: Number that only this change sets.
        revision: Revision at which it was accepted.
    """

    operator: str
    host: str
    change_id: str
    version: int
    value: int
    ending: Ending
    status: int = 0
    revision: int = 0
    error: str = ""


class ViewEvent(Event, kw_only=True):
    """What a host that says it is ready shows of the contested item."""

    host: str
    revision: int
    version: int
    value: int


class FaultEvent(Event, kw_only=True):
    """A fault that was brought about, until it was taken away."""

    what: str


class History:
    """Collects events from all threads of a run."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def add(self, event: Event) -> None:
        """Add an event that has ended."""
        with self._lock:
            self.events.append(event)

    def of(self, kind: type[E]) -> Iterator[E]:
        """Yield the events of one kind, in the order in which they ended."""
        for event in self.events:
            if isinstance(event, kind):
                yield event

    def around(self, began: float, ended: float, margin: float) -> list[Event]:
        """Return what overlaps a time with a margin, in the order of beginning."""
        near = [
            event
            for event in self.events
            if event.began <= ended + margin and event.ended >= began - margin
        ]
        return sorted(near, key=lambda event: event.began)


class FinalState(Struct):
    """What is there after every fault was taken away.

    Attributes:
        runs: Runs by target and nonce.
        target_regions: Region of each target.
        versions: Version of the contested item by host.
        values: Its value by host.
        unsettled: Hosts that didn't become ready again or disagree, and how.
    """

    runs: dict[str, dict[str, int]] = field(default_factory=dict)
    target_regions: dict[str, str] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    values: dict[str, int] = field(default_factory=dict)
    unsettled: list[str] = field(default_factory=list)

    def runs_of(self, nonce: str) -> dict[str, int]:
        """Return how often each target ran the request with a nonce."""
        return {
            target: nonces[nonce]
            for target, nonces in self.runs.items()
            if nonce in nonces
        }
