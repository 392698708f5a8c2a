"""Storage, copying and lookup of decision records on one host."""

import math
import time
from typing import Any

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.decisions._backups import HostsView
from bronzepoint_node.decisions._copy_sender import CopySender
from bronzepoint_node.decisions._lookup import Lookup, answer_query
from bronzepoint_node.decisions._request_id import new_request_id
from bronzepoint_node.decisions._segment import segment_of_copy
from bronzepoint_node.decisions._store import RecordStore
from bronzepoint_schema.generated.decision_records import (
    CopySegment,
    DecisionMessage,
    FindRecords,
)
from bronzepoint_schema.generated.decisions import DecisionRecord, WhyAnswer
from bronzepoint_schema.generated.settings import DecisionsSection, HostSection
from bronzepoint_schema.ids import HostName, RequestId


class Decisions:
    """Stores decision records, copies them to a backup host and looks them up.

    Args:
        host: This host.
        peers: Links to the other hosts.
        hosts: The membership.
        metrics: Counters of this process.
        cfg: Limits of memory, age and time; None: the defaults.
    """

    def __init__(
        self,
        host: HostSection,
        peers: Peers,
        hosts: HostsView,
        metrics: Metrics,
        cfg: DecisionsSection | None = None,
    ) -> None:
        self._host = host
        self._peers = peers
        self._metrics = metrics
        self._cfg = cfg if cfg is not None else DecisionsSection()
        self._store = RecordStore(host.name, self._cfg)
        self._copy_sender = CopySender(host, peers, hosts, metrics)
        self._lookup = Lookup(
            host.name, self._store, peers, hosts, metrics, self._cfg.timeout
        )
        self._last_copy_at = -math.inf
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start to answer queries of other hosts and to send copies."""
        self._peers.register(Area.DECISIONS, DecisionMessage, self._handle)
        self._task = await spawn_background(self._copy_periodically)

    async def close(self) -> None:
        """Send the records that have not been copied yet.

        Call this before the peers are closed.

        Closing the peers drops queued messages, so the last records of a host that
        restarts would be lost. Messages of one link are delivered in order, so the
        reply to a query that was sent after the copies confirms that they arrived.
        """
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        query = FindRecords(request_id=self.new_request_id())
        for backup in self._copy_pending():
            try:
                await self._peers.call(backup, Area.DECISIONS, query, self._cfg.timeout)
            except PeerError:
                self._metrics.incr("decisions.last_copy_unconfirmed")

    def new_request_id(self) -> RequestId:
        """Return a new identifier for a request that has just arrived."""
        return new_request_id(self._host.name, self._host.region)

    async def record(self, record: DecisionRecord) -> None:
        """Store a record in its current state; a lookup returns the newest one.

        This never waits for the network, so that sending copies doesn't slow down
        requests. If nothing was copied during the last interval, the copy is sent at
        once. Under load the records of an interval are batched, and those of the
        current interval are lost if the host is killed.
        """
        self._store.add(record)
        self._metrics.incr("decisions.recorded")
        since_last_copy = time.monotonic() - self._last_copy_at
        if self._store.batch_full or since_last_copy >= self._cfg.copy_interval:
            self._copy_pending()

    async def why(self, request_id: RequestId) -> WhyAnswer:
        """Return the records of a request from all hosts that handled it.

        Raises:
            WhyError: One of its subclasses; the message names the hosts queried.
        """
        return await self._lookup.why(request_id)

    async def _handle(self, sender: HostName, message: Any) -> Any | None:
        match message:
            case CopySegment():
                self._store.copies.add(segment_of_copy(message, time.monotonic()))
                self._metrics.incr("decisions.copies_kept", len(message.keys))
                return None
            case FindRecords():
                return answer_query(message, self._store)
        return None

    async def _copy_periodically(self) -> None:
        while True:
            await curio.sleep(self._cfg.copy_interval)
            self._copy_pending()
            self._store.expire()
            self._metrics.gauge("decisions.own_bytes", self._store.own.size)
            self._metrics.gauge("decisions.copy_bytes", self._store.copies.size)
            self._metrics.gauge("decisions.own_records", self._store.own.records)

    def _copy_pending(self) -> set[HostName]:
        """Seal and send the pending records; return the hosts they were sent to."""
        backups = set()
        if self._store.has_pending:
            self._last_copy_at = time.monotonic()
        for batch in self._store.seal_pending():
            backup = self._copy_sender.send(batch)
            if backup is not None:
                backups.add(backup)
        return backups
