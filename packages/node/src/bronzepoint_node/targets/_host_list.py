"""Reader of the platform's list of live and leaving target hosts."""

import time
from collections.abc import Callable

import curio
import msgspec

from bronzepoint_common.decoding import Undecodable, decode
from bronzepoint_common.http import HttpClient, HttpError, Unframed
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.targets._byte_budget import ByteBudget
from bronzepoint_schema.generated.platform import HostList, ListedHost

_TIMEOUT_SECONDS = 5.0
_BYTES_PER_SECOND = 1000.0
"""Rate at which the list is read. It contains all targets of all regions: when it is
long, each host reads it rarely, and the hosts of a region exchange what they read."""
_decoder = msgspec.json.Decoder(HostList)


class HostListReader:
    """Polls the list and passes on its entries.

    Args:
        address: ``host:port`` of the list.
        http: Connections.
        interval: Shortest interval between two polls, in seconds.
        on_hosts: Called with the entries of each answer.
        metrics: Counts polls.
    """

    def __init__(
        self,
        address: str,
        http: HttpClient,
        interval: float,
        on_hosts: Callable[[list[ListedHost]], None],
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._http = http
        self._interval = interval
        self._on_hosts = on_hosts
        self._metrics = metrics
        self._budget = ByteBudget(_BYTES_PER_SECOND)

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
                self._address,
                "GET",
                "/hosts",
                {},
                b"",
                _TIMEOUT_SECONDS,
                unframed=Unframed.ACCEPTED,
            )
            listed = decode(_decoder, answer.body)
        except (HttpError, Undecodable) as exc:
            self._metrics.incr(f"targets.list_failed.{type(exc).__name__}")
            return
        self._budget.charge(len(answer.body), time.monotonic())
        self._on_hosts(listed.hosts)
