"""Selection of the hosts that store copies of another host's records."""

from collections.abc import Iterable, Sequence
from typing import Protocol

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.settings import HostSection
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

STATE_LIVE = "live"
STATE_DEAD = "dead"


class HostView(Protocol):
    """The fields of a host that are used here; membership's HostInfo has them."""

    name: HostName
    region: RegionName
    data_center: DataCenterName
    state: str


class HostsView(Protocol):
    """The methods of the membership that are used here."""

    def hosts(self, region: RegionName | None = None) -> Sequence[HostView]:
        """Return the known hosts of one region; None: of all regions."""
        ...

    def host(self, name: HostName) -> HostView | None:
        """Return a host by name; None: it is not known."""
        ...


def backup_order(
    hosts: Iterable[HostView], recorder: HostName, slot: int
) -> list[HostView]:
    """Return the hosts that may back up a recorder's records of a time slot.

    The hosts are ordered by a rendezvous hash over recorder and slot rather than over
    single requests. All records of a slot go to one host in one message, and each slot
    goes to a different host, so the load is even over minutes. The first host of each
    data center comes before the remaining hosts. The recorder chooses a backup outside
    its own data center. This order puts that backup among the first few hosts, where a
    lookup finds it even on a host that doesn't know the recorder's data center.

    Args:
        hosts: Known hosts of the recorder's region.
        recorder: The host that made the records.
        slot: The time slot of the records; see `RequestIdParts`.
    """
    others = {host.name: host for host in hosts if host.name != recorder}
    names = rendezvous_order(f"{recorder}/{slot}", others)
    ranked = [others[name] for name in names]
    first_by_data_center: dict[DataCenterName, HostView] = {}
    for host in ranked:
        first_by_data_center.setdefault(host.data_center, host)
    first_hosts = list(first_by_data_center.values())
    return first_hosts + [host for host in ranked if host not in first_hosts]


def choose_backups(
    hosts: Iterable[HostView], recorder: HostSection, slot: int
) -> list[HostView]:
    """Return the live hosts to which a copy is sent, in order of preference.

    Hosts of other data centers come first. A rack or data center can fail as a whole,
    and a copy in the same data center would be lost together with the original.
    """
    live = [
        host
        for host in backup_order(hosts, recorder.name, slot)
        if host.state == STATE_LIVE
    ]
    other_data_centers = [
        host for host in live if host.data_center != recorder.data_center
    ]
    return other_data_centers + [
        host for host in live if host not in other_data_centers
    ]
