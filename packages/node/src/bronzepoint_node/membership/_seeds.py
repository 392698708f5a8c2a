"""Records of the hosts in the settings, this host included."""

import time

from bronzepoint_node.membership._host_table import UNKNOWN_INCARNATION
from bronzepoint_schema.generated.membership import HostRecord
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import HostName


def make_own_record(settings: Settings) -> HostRecord:
    """Return this host's record, with a new incarnation."""
    host = settings.host
    listed = settings.peers.get(host.name)
    return HostRecord(
        name=host.name,
        region=host.region,
        data_center=host.data_center,
        # Other hosts reach it at the address in its own [peer] section, which may
        # differ from the address that it listens on.
        http=settings.listen.http if listed is None else listed.http,
        peer=settings.listen.peer if listed is None else listed.peer,
        incarnation=int(time.time() * 1000),
    )


def make_seed_records(settings: Settings) -> list[HostRecord]:
    """Return a record for each other host in the settings."""
    return [
        HostRecord(
            name=HostName(name),
            region=peer.region,
            data_center=peer.data_center,
            http=peer.http,
            peer=peer.peer,
            incarnation=UNKNOWN_INCARNATION,
        )
        for name, peer in settings.peers.items()
        if name != settings.host.name
    ]
