"""Operators that concurrently change one item, and observers of it."""

import random
import threading
from typing import Any

import msgspec

from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.soak._callers import CALL_ERRORS
from bronzepoint_emulator.soak._history import (
    CallOutcome,
    ChangeEvent,
    History,
    ViewEvent,
)
from bronzepoint_schema.generated.catalogue import ModelEntry

CONTESTED_ITEM = "tour-notes"
"""Catalogue entry that all operators change."""
ITEM_PATH = f"/v1/admin/catalogue/model/{CONTESTED_ITEM}"
TIMEOUT = 5.0
"""Seconds for each connect and read of an operator's request."""
PAUSE = (0.1, 0.6)
"""Range of the pause between changes in seconds."""
VIEW_PAUSE = 0.2
"""Seconds between two observations of a host."""
VIEW_TIMEOUT = 2.0
"""Seconds for each connect and read of an observation."""
MAX_SENDS = 6
"""Maximum number of times that a change is sent."""
RESEND_SHARE = 0.3
"""Probability that an answered change is sent again."""
VALUES_PER_OPERATOR = 1_000_000
"""Size of the range of values that each operator uses."""


class CompetingOperator:
    """One operator, run in its own thread.

    Each change sets the item's worth to a unique number, so that the value that a host
    shows identifies the change.

    Args:
        deployment: Deployment to send changes to.
        history: Records each attempt.
        stop: Event that ends the operator.
        name: Name of the operator.
        number: Index of the operator, from 0.
        seed: Seed of its random choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        history: History,
        stop: threading.Event,
        name: str,
        number: int,
        seed: str,
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._stop = stop
        self._name = name
        self._value = number * VALUES_PER_OPERATOR
        self._random = random.Random(seed)

    def run(self) -> None:
        """Change the item until the run ends."""
        while not self._stop.wait(self._random.uniform(*PAUSE)):
            item = self._read()
            if item is not None:
                self._change(item)

    def _host(self) -> str:
        return self._random.choice(self._deployment.host_names())

    def _read(self) -> ModelEntry | None:
        client = self._deployment.operator(self._host(), self._name).client
        client.timeout = TIMEOUT
        try:
            reply = client.get(ITEM_PATH)
            return msgspec.convert(reply.json()["item"], type=ModelEntry)
        except (*CALL_ERRORS, msgspec.ValidationError):
            return None

    def _change(self, item: ModelEntry) -> None:
        self._value += 1
        operator = self._deployment.operator(name=self._name)
        changed = msgspec.structs.replace(
            item, version=item.version + 1, worth=float(self._value)
        )
        body = operator.put_body(changed)
        for _ in range(MAX_SENDS):
            outcome = self._send(body)
            resend = self._random.random() < RESEND_SHARE
            if outcome is not CallOutcome.lost and not resend:
                return
            if self._stop.wait(self._random.uniform(*PAUSE)):
                return

    def _send(self, body: dict[str, Any]) -> CallOutcome:
        host = self._host()
        event = ChangeEvent(
            began=self._history.now(),
            ended=0.0,
            operator=self._name,
            host=host,
            change_id=body["change_id"],
            version=body["version"],
            value=self._value,
            outcome=CallOutcome.lost,
        )
        operator = self._deployment.operator(host, self._name)
        operator.client.timeout = TIMEOUT
        try:
            reply = operator.try_change(body)
            event.status = reply.status
            _record_answer(event, reply.json())
        except CALL_ERRORS as exc:
            event.error = repr(exc)
        event.ended = self._history.now()
        self._history.add(event)
        return event.outcome


def _record_answer(event: ChangeEvent, answer: dict[str, Any]) -> None:
    if event.status == 200:
        event.outcome = CallOutcome.answered
        event.revision = answer["revision"]
        return
    event.error = answer["error"]["message"]
    # After an answer for lack of a quorum, the change may still be accepted later.
    if event.status == 409:
        event.outcome = CallOutcome.refused


class Observer:
    """Polls one host for the contested item, in its own thread."""

    def __init__(
        self,
        deployment: Deployment,
        history: History,
        stop: threading.Event,
        host: str,
    ) -> None:
        self._operator = deployment.operator(host)
        self._operator.client.timeout = VIEW_TIMEOUT
        self._history = history
        self._stop = stop
        self._host = host

    def run(self) -> None:
        """Poll until the run ends."""
        while not self._stop.wait(VIEW_PAUSE):
            self.observe()

    def observe(self) -> ViewEvent | None:
        """Record the host's view; None if it does not answer or is not ready."""
        began = self._history.now()
        client = self._operator.client
        try:
            if not client.get("/v1/health").json()["ready"]:
                return None
            reply = client.get(ITEM_PATH).json()
            event = ViewEvent(
                began=began,
                ended=self._history.now(),
                host=self._host,
                revision=reply["revision"],
                version=reply["item"]["version"],
                value=round(reply["item"]["worth"]),
            )
        except CALL_ERRORS:
            return None
        self._history.add(event)
        return event
