"""Open-loop callers: requests are sent at their drawn times."""

import time

import curio
import msgspec

from bronzepoint_common.http import HttpClient, HttpError
from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.experiments._arrivals import Arrival
from bronzepoint_emulator.experiments._outcome import Outcome

_ENTRY = "chat"
_EVENT_PREFIX = b"data: "
_LAST_EVENT = b"data: [DONE]"
_MAX_WAIT = 3.0
"""Seconds after the deadline at which a caller gives up, so that runs end in time."""


class Callers:
    """Sends requests to a deployment, each in its own task.

    The time of sending does not depend on earlier answers. Callers that waited for an
    answer before the next request would hide the delays to be measured.

    Args:
        deployment: Deployment to send to.
        client: HTTP client.
        deadline: Seconds after which a first token has no worth.
    """

    def __init__(
        self, deployment: Deployment, client: HttpClient, deadline: float
    ) -> None:
        self._deployment = deployment
        self._client = client
        self._deadline = deadline
        self._tokens = {
            (caller.owner, caller.home): caller.token
            for caller in deployment.layout.callers
        }

    async def send_all(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Send all requests at their times and return their outcomes."""
        start = time.monotonic()
        async with curio.TaskGroup() as tasks:
            for arrival in arrivals:
                wait = start + arrival.at - time.monotonic()
                if wait > 0:
                    await curio.sleep(wait)
                await tasks.spawn(self._send, arrival, start + arrival.at)
        return list(tasks.results)

    async def _send(self, arrival: Arrival, due: float) -> Outcome:
        outcome = Outcome(arrival.at, arrival.home, arrival.owner, arrival.worth)
        body = msgspec.json.encode(
            {
                "model": _ENTRY,
                "messages": [{"role": "user", "content": arrival.prompt}],
                "max_tokens": arrival.max_tokens,
                "stream": True,
            }
        )
        try:
            await self._exchange(arrival, due, body, outcome)
        except HttpError as exc:
            outcome.refusal = type(exc).__name__
        return outcome

    async def _exchange(
        self, arrival: Arrival, due: float, body: bytes, outcome: Outcome
    ) -> None:
        async with self._client.stream(
            self._host(arrival),
            "POST",
            "/v1/chat/completions",
            self._headers(arrival),
            body,
            self._deadline + _MAX_WAIT,
        ) as answer:
            outcome.served_in = answer.headers.get("bronzepoint-region", "")
            tail = b""
            async for chunk in answer.chunks():
                tail = (tail + chunk)[-200:] if answer.status == 200 else tail + chunk
                if outcome.first_token is None and _EVENT_PREFIX in tail:
                    outcome.first_token = time.monotonic() - due
            outcome.answered = answer.status == 200 and _LAST_EVENT in tail
            if answer.status != 200:
                outcome.refusal = msgspec.json.decode(tail)["error"]["kind"]

    def _host(self, arrival: Arrival) -> str:
        hosts = self._deployment.layout.region_hosts(arrival.home)
        host = hosts[int(arrival.host * len(hosts))]
        return self._deployment.address(host.name)

    def _headers(self, arrival: Arrival) -> dict[str, str]:
        token = self._tokens[arrival.owner, arrival.home]
        return {
            "authorization": f"Bearer {token}",
            "content-type": "application/json",
            "bronzepoint-deadline": f"{self._deadline:g}",
            "bronzepoint-worth": f"{arrival.worth:g}",
        }


__all__ = ["Callers"]
