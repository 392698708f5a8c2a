"""This host's part in keeping decisions that can be asked for afterwards."""

import math
import time
from typing import Any

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.decisions._backups import HostsView
from bronzepoint_node.decisions._copies import CopySender
from bronzepoint_node.decisions._lookup import Lookup, answer_question
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
    """Keeps decision records, copies them to a backup host, and finds them again.

    Args:
        host: Who this host is.
        peers: Links to the other hosts.
        hosts: The membership.
        metrics: Counters of this process.
        cfg: Bounds; the defaults where None.
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
        self._sender = CopySender(host, peers, hosts, metrics)
        self._lookup = Lookup(
            host.name, self._store, peers, hosts, metrics, self._cfg.timeout
        )
        self._copied_at = -math.inf
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Answer questions of other hosts and begin to send copies."""
        self._peers.register(Area.DECISIONS, DecisionMessage, self._handle)
        self._task = await curio.spawn(self._copy_periodically, daemon=True)

    async def close(self) -> None:
        """Send what has not been copied yet; call before the peers are closed.

        Closing the peers drops what is still queued, and the last records of a host
        that restarts would be gone. Messages of one link stay in order, so the answer
        to a question sent after the copies shows that they have arrived.
        """
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        question = FindRecords(request_id=self.new_request_id())
        for backup in self._copy_pending():
            try:
                await self._peers.call(
                    backup, Area.DECISIONS, question, self._cfg.timeout
                )
            except PeerError:
                self._metrics.incr("decisions.last_copy_unconfirmed")

    def new_request_id(self) -> RequestId:
        """Return the identifier of a request that arrives now."""
        return new_request_id(self._host.name, self._host.region)

    async def record(self, record: DecisionRecord) -> None:
        """Keep a record as it is now; the newest one of a request counts.

        This never waits for the network: a request must not be slower because its
        record travels. After a quiet interval the copy leaves at once; under load
        records are gathered, and a host that is killed takes those of the present
        interval along.
        """
        self._store.add(record)
        self._metrics.incr("decisions.recorded")
        quiet_for = time.monotonic() - self._copied_at
        if self._store.batch_full or quiet_for >= self._cfg.copy_interval:
            self._copy_pending()

    async def why(self, request_id: RequestId) -> WhyAnswer:
        """Return everything found about a request, on whichever hosts it is.

        Raises:
            WhyError: One of its subclasses; the message says who was asked.
        """
        return await self._lookup.why(request_id)

    async def _handle(self, sender: HostName, message: Any) -> Any | None:
        match message:
            case CopySegment():
                self._store.copies.add(segment_of_copy(message, time.monotonic()))
                self._metrics.incr("decisions.copies_kept", len(message.keys))
                return None
            case FindRecords():
                return answer_question(message, self._store)
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
        """Seal and send the batch; return the hosts it was posted to."""
        backups = set()
        if self._store.has_pending:
            self._copied_at = time.monotonic()
        for batch in self._store.seal_pending():
            backup = self._sender.send(batch)
            if backup is not None:
                backups.add(backup)
        return backups
