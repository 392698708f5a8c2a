"""Values derived from the settings."""

from bronzepoint_schema.generated.settings import PeerSection, Settings
from bronzepoint_schema.ids import HostName, RegionName


def all_hosts(settings: Settings) -> dict[HostName, PeerSection]:
    """Return this host and its peers by name, all in the form of peer sections."""
    own = PeerSection(
        region=settings.host.region,
        data_center=settings.host.data_center,
        http=settings.listen.http,
        peer=settings.listen.peer,
        voter=settings.host.voter,
    )
    hosts = {settings.host.name: own}
    hosts.update((HostName(name), peer) for name, peer in settings.peers.items())
    return hosts


def hosts_in_region(settings: Settings, region: RegionName) -> list[HostName]:
    """Return the hosts of one region, sorted by name."""
    hosts = all_hosts(settings).items()
    return sorted(name for name, host in hosts if host.region == region)


def regions(settings: Settings) -> list[RegionName]:
    """Return the regions that have a host, sorted by name."""
    return sorted({host.region for host in all_hosts(settings).values()})


def voters(settings: Settings) -> list[HostName]:
    """Return the initial set of voters, sorted by name."""
    return sorted(name for name, host in all_hosts(settings).items() if host.voter)


def cluster_key(settings: Settings) -> bytes:
    """Return the key that authenticates messages between hosts."""
    return bytes.fromhex(settings.cluster.key)


__all__ = ["all_hosts", "cluster_key", "hosts_in_region", "regions", "voters"]
