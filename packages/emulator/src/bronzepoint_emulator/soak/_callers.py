"""Callers that ask, lose answers and send again."""

import http.client
import random
import threading
from typing import Any

import msgspec

from bronzepoint_emulator.deployment import Deployment, new_key, new_nonce
from bronzepoint_emulator.soak._history import CallEvent, CallKind, Ending, History

TIMEOUT = 8.0
PAUSE = (0.02, 0.2)
TOKENS = 6
HOME_SHARE = 0.8
"""Share of the calls that go to a host of the caller's own region."""
RESEND_SHARE = 0.7
MOST_SENDS = 5
LOST = (OSError, http.client.HTTPException, ValueError, KeyError, TypeError)


class Caller:
    """One caller, in a thread of its own.

    Args:
        deployment: Where it calls.
        history: Told of each call.
        stop: Ends it.
        seed: Seed of its choices.
    """

    def __init__(
        self,
        deployment: Deployment,
        history: History,
        stop: threading.Event,
        seed: str,
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._stop = stop
        self._random = random.Random(seed)

    def run(self) -> None:
        """Call until the run ends."""
        while not self._stop.wait(self._random.uniform(*PAUSE)):
            kind = self._random.choice(list(CallKind))
            home = self._random.choice(self._deployment.layout.regions)
            if kind is CallKind.save:
                self._save(home)
            else:
                self._call(kind, home, new_nonce())

    def _save(self, home: str) -> None:
        """Save a phrase; send it again with its key where that makes sense."""
        nonce, key = new_nonce(), new_key()
        for _ in range(MOST_SENDS):
            self._call(CallKind.save, home, nonce, key)
            if self._random.random() > RESEND_SHARE:
                return
            if self._stop.wait(self._random.uniform(*PAUSE)):
                return

    def _host(self, home: str) -> str:
        layout = self._deployment.layout
        near = self._random.random() < HOME_SHARE
        hosts = layout.region_hosts(home) if near else layout.hosts
        return self._random.choice(hosts).name

    def _call(self, kind: CallKind, home: str, nonce: str, key: str = "") -> None:
        host = self._host(home)
        event = CallEvent(
            began=self._history.now(),
            ended=0.0,
            host=host,
            home=home,
            kind=kind,
            nonce=nonce,
            key=key,
            ending=Ending.lost,
        )
        try:
            self._send(event)
        except LOST as exc:
            event.ending = Ending.lost
            event.error = repr(exc)
        event.ended = self._history.now()
        self._history.add(event)

    def _send(self, event: CallEvent) -> None:
        client = self._deployment.client(event.host, region=event.home)
        client.timeout = TIMEOUT
        method, path, body = _request(event)
        headers = {"Idempotency-Key": event.key} if event.key else {}
        with client.open(method, path, body, headers) as answer:
            event.status = answer.status
            event.request_id = answer.request_id
            if answer.status != 200:
                _take_refusal(event, answer.read())
            elif event.kind is CallKind.save:
                event.body = answer.read()
                event.echo = msgspec.json.decode(event.body)["echo"]
                event.whole = True
                event.ending = Ending.answered
            else:
                _take_stream(event, list(answer.events()))
                event.ending = Ending.answered


def _request(event: CallEvent) -> tuple[str, str, dict[str, Any]]:
    if event.kind is CallKind.save:
        return "POST", "/v1/services/phrases/saved", {"nonce": event.nonce}
    entry = "clinic" if event.kind is CallKind.clinic else "phrasebook"
    body = {
        "model": entry,
        "messages": [{"role": "user", "content": f"please translate {event.nonce}"}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    return "POST", "/v1/chat/completions", body


def _take_refusal(event: CallEvent, body: bytes) -> None:
    event.ending = Ending.refused
    refusal = msgspec.json.decode(body)["error"]
    if isinstance(refusal, str):
        # The target's own answer, which the gateway passed on.
        event.refusal = f"target_{refusal}"
        return
    event.refusal = refusal["kind"]
    event.ran = refusal["ran"]


def _take_stream(event: CallEvent, events: list[str]) -> None:
    """Note what a stream that ended in an orderly way brought."""
    texts = [
        msgspec.json.decode(data)["choices"][0]["delta"]["content"]
        for data in events
        if data != "[DONE]"
    ]
    event.echo = texts[0].removeprefix("echo:") if texts else ""
    expected = [f" w{number}" for number in range(1, TOKENS)]
    event.whole = texts[1:] == expected and events[-1] == "[DONE]"
