"""Reads which target hosts the platform lists as live and which as leaving."""

import time
from collections.abc import Callable

import curio
import msgspec

from bronzepoint_common.http import HttpClient, HttpError
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.targets._byte_budget import ByteBudget
from bronzepoint_schema.generated.platform import HostList, ListedHost

_TIMEOUT = 5.0
_BYTES_A_SECOND = 1000.0
"""The list names all targets of all regions: where it is long, each host reads it
seldom, and the hosts of a region tell each other what they read."""
_decoder = msgspec.json.Decoder(HostList)


class HostListReader:
    """Polls the list and hands out its lines.

    Args:
        address: ``host:port`` of the list.
        http: Connections.
        interval: Least seconds between two polls.
        heard: Called with the lines of each answer.
        metrics: Counts polls.
    """

    def __init__(
        self,
        address: str,
        http: HttpClient,
        interval: float,
        heard: Callable[[list[ListedHost]], None],
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._http = http
        self._interval = interval
        self._heard = heard
        self._metrics = metrics
        self._budget = ByteBudget(_BYTES_A_SECOND)

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._poll()
            wait = self._budget.wait(time.monotonic())
            await curio.sleep(max(self._interval, wait))

    async def _poll(self) -> None:
        self._metrics.incr("targets.list_polls")
        try:
            answer = await self._http.fetch(
                self._address, "GET", "/hosts", {}, b"", _TIMEOUT
            )
            listed = _decoder.decode(answer.body)
        except (HttpError, msgspec.MsgspecError) as exc:
            self._metrics.incr(f"targets.list_failed.{type(exc).__name__}")
            return
        self._budget.charge(len(answer.body), time.monotonic())
        self._heard(listed.hosts)
