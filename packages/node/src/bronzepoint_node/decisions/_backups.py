"""Which hosts of a region hold the copies of another host's records."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.settings import HostSection
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

STATE_LIVE = "live"
STATE_DEAD = "dead"


class HostView(Protocol):
    """What is read of a host; membership's HostInfo fits."""

    name: HostName
    region: RegionName
    data_center: DataCenterName
    state: str


class HostsView(Protocol):
    """What is read of the membership."""

    def hosts(self, region: RegionName | None = None) -> Sequence[HostView]:
        """Return the known hosts, of one region or of all."""
        ...

    def host(self, name: HostName) -> HostView | None:
        """Return one host, None where it is not known."""
        ...


def backup_order(
    hosts: Iterable[HostView], recorder: HostName, slot: int
) -> list[HostView]:
    """Return the hosts that may back up a recorder's records of a slot, best first.

    The order is a rendezvous hash over recorder and slot, not over single requests:
    all records of a slot go to one host in one message, and each slot to another host,
    so the load is even over minutes. The first host of each data center comes before
    the others, for then both the recorder's choice (a backup outside its own data
    center) and a searcher that has never heard of the recorder find it within the
    first few.
    """
    others = {host.name: host for host in hosts if host.name != recorder}
    names = rendezvous_order(f"{recorder}/{slot}", others)
    ranked = [others[name] for name in names]
    firsts: dict[DataCenterName, HostView] = {}
    for host in ranked:
        firsts.setdefault(host.data_center, host)
    leaders = list(firsts.values())
    return leaders + [host for host in ranked if host not in leaders]


def choose_backups(
    hosts: Iterable[HostView], recorder: HostSection, slot: int
) -> list[HostView]:
    """Return the live hosts to offer a copy to, in this order.

    A rack or data center fails as a whole now and then: a copy beside the original
    would be lost with it, so other data centers come first.
    """
    live = [
        host
        for host in backup_order(hosts, recorder.name, slot)
        if host.state == STATE_LIVE
    ]
    away = [host for host in live if host.data_center != recorder.data_center]
    return away + [host for host in live if host not in away]
