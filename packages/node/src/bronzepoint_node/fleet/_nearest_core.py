"""Selection of the core hosts that an entry host prefers."""

from collections.abc import Iterable, Mapping

from bronzepoint_schema.generated.fleet import CoreHost
from bronzepoint_schema.ids import HostName, RegionName


def nearest_core(
    core: Iterable[CoreHost],
    region: RegionName,
    avoided_until: Mapping[HostName, float],
    now: float,
) -> list[HostName]:
    """Return the available core hosts of this region, or of all if it has none.

    Args:
        core: Live core hosts.
        region: This host's region.
        avoided_until: Monotonic time until which each failed host is avoided.
        now: Monotonic seconds.

    Returns:
        Names of the hosts; empty if all are avoided.
    """
    available = [host for host in core if now >= avoided_until.get(host.name, 0.0)]
    local = [host for host in available if host.region == region]
    return [host.name for host in local or available]


__all__ = ["nearest_core"]
