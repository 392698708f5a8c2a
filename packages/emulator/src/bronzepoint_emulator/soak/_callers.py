"""Callers that send requests and resend some of them."""

import http.client
import random
import threading
from typing import Any

import msgspec

from bronzepoint_emulator.deployment import Deployment, new_key, new_nonce
from bronzepoint_emulator.soak._history import CallEvent, CallKind, CallOutcome, History

TIMEOUT = 8.0
"""Seconds for each connect and read of a call."""
PAUSE = (0.02, 0.2)
"""Range of the pause between calls in seconds."""
TOKENS = 6
"""Tokens of each model call's answer."""
LOCAL_SHARE = 0.8
"""Share of calls that go to a host of the caller's own region."""
RESEND_SHARE = 0.7
"""Probability of sending a saved call again."""
MAX_SENDS = 5
"""Maximum number of times that a saved call is sent."""
CALL_ERRORS = (OSError, http.client.HTTPException, ValueError, KeyError, TypeError)


class Caller:
    """One caller, run in its own thread.

    Args:
        deployment: Deployment to call.
        history: Records each call.
        stop: Event that ends the caller.
        seed: Seed of its random choices.
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
        """Send calls until the run ends."""
        while not self._stop.wait(self._random.uniform(*PAUSE)):
            kind = self._random.choice(list(CallKind))
            home = self._random.choice(self._deployment.layout.regions)
            if kind is CallKind.save:
                self._save(home)
            else:
                self._call(kind, home, new_nonce())

    def _save(self, home: str) -> None:
        """Save a phrase and randomly resend it with the same idempotency key."""
        nonce, key = new_nonce(), new_key()
        for _ in range(MAX_SENDS):
            self._call(CallKind.save, home, nonce, key)
            if self._random.random() > RESEND_SHARE:
                return
            if self._stop.wait(self._random.uniform(*PAUSE)):
                return

    def _host(self, home: str) -> str:
        layout = self._deployment.layout
        local = self._random.random() < LOCAL_SHARE
        hosts = layout.region_hosts(home) if local else layout.hosts
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
            outcome=CallOutcome.lost,
        )
        try:
            self._send(event)
        except CALL_ERRORS as exc:
            event.outcome = CallOutcome.lost
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
                _record_refusal(event, answer.read())
            elif event.kind is CallKind.save:
                event.body = answer.read()
                event.echo = msgspec.json.decode(event.body)["echo"]
                event.whole = True
                event.outcome = CallOutcome.answered
            else:
                _record_stream(event, list(answer.events()))
                event.outcome = CallOutcome.answered


def _request(event: CallEvent) -> tuple[str, str, dict[str, Any]]:
    if event.kind is CallKind.save:
        return "POST", "/v1/services/phrases/saved", {"nonce": event.nonce}
    model = "clinic" if event.kind is CallKind.clinic else "phrasebook"
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"please translate {event.nonce}"}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    return "POST", "/v1/chat/completions", body


def _record_refusal(event: CallEvent, body: bytes) -> None:
    event.outcome = CallOutcome.refused
    refusal = msgspec.json.decode(body)["error"]
    if isinstance(refusal, str):
        # An error of the target, passed on by the gateway.
        event.refusal = f"target_{refusal}"
        return
    event.refusal = refusal["kind"]
    event.ran = refusal["ran"]


def _record_stream(event: CallEvent, events: list[str]) -> None:
    """Record the content of a stream that ended without an error."""
    texts = [
        msgspec.json.decode(data)["choices"][0]["delta"]["content"]
        for data in events
        if data != "[DONE]"
    ]
    event.echo = texts[0].removeprefix("echo:") if texts else ""
    expected = [f" w{number}" for number in range(1, TOKENS)]
    event.whole = texts[1:] == expected and events[-1] == "[DONE]"
