"""Operators that race each other for one item, and lose answers."""

import random
import threading
from typing import Any

import msgspec

from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.soak._callers import LOST
from bronzepoint_emulator.soak._history import (
    ChangeEvent,
    Ending,
    History,
    ViewEvent,
)
from bronzepoint_schema.generated.catalogue import ModelEntry

CONTESTED = "tour-notes"
ITEM_PATH = f"/v1/admin/catalogue/model/{CONTESTED}"
TIMEOUT = 5.0
PAUSE = (0.1, 0.6)
VIEW_PAUSE = 0.2
VIEW_TIMEOUT = 2.0
MOST_SENDS = 6
RESEND_SHARE = 0.3
"""Share of answered changes that are sent once more."""
VALUES_PER_OPERATOR = 1_000_000


class RacingOperator:
    """One operator, in a thread of its own.

    Every change sets the item's worth to a number of its own, so that what a host
    shows tells whose change it is.

    Args:
        deployment: Where it sends changes.
        history: Told of each try.
        stop: Ends it.
        name: The operator's name.
        number: Which operator it is, from 0.
        seed: Seed of its choices.
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
        except (*LOST, msgspec.ValidationError):
            return None

    def _change(self, item: ModelEntry) -> None:
        self._value += 1
        operator = self._deployment.operator(name=self._name)
        changed = msgspec.structs.replace(
            item, version=item.version + 1, worth=float(self._value)
        )
        body = operator.put_body(changed)
        for _ in range(MOST_SENDS):
            ending = self._send(body)
            again = self._random.random() < RESEND_SHARE
            if ending is not Ending.lost and not again:
                return
            if self._stop.wait(self._random.uniform(*PAUSE)):
                return

    def _send(self, body: dict[str, Any]) -> Ending:
        host = self._host()
        event = ChangeEvent(
            began=self._history.now(),
            ended=0.0,
            operator=self._name,
            host=host,
            change_id=body["change_id"],
            version=body["version"],
            value=self._value,
            ending=Ending.lost,
        )
        operator = self._deployment.operator(host, self._name)
        operator.client.timeout = TIMEOUT
        try:
            reply = operator.try_change(body)
            event.status = reply.status
            _take_answer(event, reply.json())
        except LOST as exc:
            event.error = repr(exc)
        event.ended = self._history.now()
        self._history.add(event)
        return event.ending


def _take_answer(event: ChangeEvent, answer: dict[str, Any]) -> None:
    if event.status == 200:
        event.ending = Ending.answered
        event.revision = answer["revision"]
        return
    event.error = answer["error"]["message"]
    # An answer without a quorum leaves open whether the change is accepted later.
    if event.status == 409:
        event.ending = Ending.refused


class Observer:
    """Watches what one host shows of the contested item, in a thread of its own."""

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
        """Look until the run ends."""
        while not self._stop.wait(VIEW_PAUSE):
            self.look()

    def look(self) -> ViewEvent | None:
        """Note what the host shows; None where it doesn't answer or isn't ready."""
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
        except LOST:
            return None
        self._history.add(event)
        return event
