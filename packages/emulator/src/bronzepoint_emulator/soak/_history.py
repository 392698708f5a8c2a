"""Events of a run, as observed from outside the system."""

import threading
import time
from collections.abc import Iterator
from enum import StrEnum
from typing import TypeVar

from msgspec import Struct, field

E = TypeVar("E", bound="Event")


class CallKind(StrEnum):
    """Kind of a call."""

    chat = "chat"
    """A model call that any region may serve."""
    clinic = "clinic"
    """A model call restricted to the caller's home region."""
    save = "save"
    """A non-idempotent service call restricted to the caller's home region."""


class CallOutcome(StrEnum):
    """Result of a call or change, as seen by its sender."""

    answered = "answered"
    refused = "refused"
    lost = "lost"
    """No answer or a truncated one; the request may have run."""


class Event(Struct, kw_only=True):
    """An event with its start and end, in seconds after the start of the run."""

    began: float
    ended: float


class CallEvent(Event, kw_only=True):
    """One attempt of a caller.

    Attributes:
        home: The caller's region.
        nonce: Nonce that the answer must echo.
        ran: Whether the request ran according to its refusal: no or unknown.
        echo: Nonce that the answer echoed.
        whole: Whether the answer was complete.
        body: Body of the answer to a saved call.
    """

    host: str
    home: str
    kind: CallKind
    nonce: str
    outcome: CallOutcome
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
    """One attempt of an operator to change the contested item.

    Attributes:
        value: Value that is unique to this change.
        revision: Revision at which it was accepted.
    """

    operator: str
    host: str
    change_id: str
    version: int
    value: int
    outcome: CallOutcome
    status: int = 0
    revision: int = 0
    error: str = ""


class ViewEvent(Event, kw_only=True):
    """The contested item as shown by a host that reports ready."""

    host: str
    revision: int
    version: int
    value: int


class FaultEvent(Event, kw_only=True):
    """A fault, from its injection until it was ended."""

    what: str


class History:
    """Collects the events of all threads of a run."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._start

    def add(self, event: Event) -> None:
        """Add a completed event."""
        with self._lock:
            self.events.append(event)

    def of(self, kind: type[E]) -> Iterator[E]:
        """Yield the events of one kind, ordered by their end."""
        for event in self.events:
            if isinstance(event, kind):
                yield event

    def overlapping(self, began: float, ended: float, margin: float) -> list[Event]:
        """Return the events that overlap an interval, ordered by their start."""
        near = [
            event
            for event in self.events
            if event.began <= ended + margin and event.ended >= began - margin
        ]
        return sorted(near, key=lambda event: event.began)


class FinalState(Struct):
    """State after all faults were ended.

    Attributes:
        runs: Runs by target and nonce.
        target_regions: Region of each target.
        versions: Version of the contested item by host.
        values: Its value by host.
        unsettled: Descriptions of hosts that did not recover or disagree.
    """

    runs: dict[str, dict[str, int]] = field(default_factory=dict)
    target_regions: dict[str, str] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    values: dict[str, int] = field(default_factory=dict)
    unsettled: list[str] = field(default_factory=list)

    def runs_of(self, nonce: str) -> dict[str, int]:
        """Return how often each target ran requests with a nonce."""
        return {
            target: nonces[nonce]
            for target, nonces in self.runs.items()
            if nonce in nonces
        }
