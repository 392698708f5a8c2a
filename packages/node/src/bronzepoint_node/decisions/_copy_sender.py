"""Sending of copies of this host's records to backup hosts."""

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.decisions._backups import HostsView, choose_backups
from bronzepoint_node.decisions._store import CopyBatch
from bronzepoint_schema.generated.decision_records import CopySegment
from bronzepoint_schema.generated.settings import HostSection
from bronzepoint_schema.ids import HostName

MAX_BACKUPS = 3
"""Hosts to which a copy is sent until one accepts it. A lookup queries as many."""


class CopySender:
    """Sends each batch to one backup host.

    A copy is sent without acknowledgement. It is lost only if the backup fails before
    other hosts detect it, and the loss matters only if this host also fails within the
    retention time of the records. A lookup then reports that the record is lost.

    Args:
        recorder: This host.
        peers: Links to the other hosts.
        hosts: The membership.
        metrics: Counters of this process.
    """

    def __init__(
        self, recorder: HostSection, peers: Peers, hosts: HostsView, metrics: Metrics
    ) -> None:
        self._recorder = recorder
        self._peers = peers
        self._hosts = hosts
        self._metrics = metrics

    def send(self, batch: CopyBatch) -> HostName | None:
        """Send a batch.

        Returns:
            The host that it was sent to; None: no host accepts it.
        """
        segment = batch.segment
        message = CopySegment(keys=segment.keys.tolist(), packed=segment.packed)
        hosts = self._hosts.hosts(self._recorder.region)
        backups = choose_backups(hosts, self._recorder, batch.slot)
        for backup in backups[:MAX_BACKUPS]:
            if self._peers.post(backup.name, Area.DECISIONS, message):
                self._metrics.incr("decisions.copied", len(segment.keys))
                return backup.name
            self._metrics.incr("retry.decision_copy")
        self._metrics.incr("decisions.without_copy", len(segment.keys))
        return None
