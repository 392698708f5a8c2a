"""The sending of this host's records to their backup hosts."""

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.decisions._backups import HostsView, choose_backups
from bronzepoint_node.decisions._store import CopyBatch
from bronzepoint_schema.generated.decision_records import CopySegment
from bronzepoint_schema.generated.settings import HostSection
from bronzepoint_schema.ids import HostName

BACKUPS_TRIED = 3
"""Hosts to which a copy is offered; a searcher asks as many."""


class CopySender:
    """Sends each batch to one backup host.

    A copy is posted, not acknowledged: it is lost only if the backup dies before
    others notice, and it matters only if this host dies too within the time for which
    records are kept. `why` then says that the record is gone.
    """

    def __init__(
        self, recorder: HostSection, peers: Peers, hosts: HostsView, metrics: Metrics
    ) -> None:
        self._recorder = recorder
        self._peers = peers
        self._hosts = hosts
        self._metrics = metrics

    def send(self, batch: CopyBatch) -> HostName | None:
        """Post a batch.

        Returns:
            The host that it was posted to, None where no host takes it.
        """
        segment = batch.segment
        message = CopySegment(keys=segment.keys.tolist(), packed=segment.packed)
        hosts = self._hosts.hosts(self._recorder.region)
        backups = choose_backups(hosts, self._recorder, batch.slot)
        for backup in backups[:BACKUPS_TRIED]:
            if self._peers.post(backup.name, Area.DECISIONS, message):
                self._metrics.incr("decisions.copied", len(segment.keys))
                return backup.name
            self._metrics.incr("retry.decision_copy")
        self._metrics.incr("decisions.without_copy", len(segment.keys))
        return None
