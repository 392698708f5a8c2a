"""Progress of one search for the place where a stream began."""

from collections import Counter
from collections.abc import Container, Iterable, Mapping
from enum import Enum, auto

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName, RegionName

from ._origin import StreamOrigin

REMOTE_ASKED = 2
"""Hosts asked at once in each other region."""


class Unfound(Enum):
    """Why no origin was found."""

    UNKNOWN = auto()
    """All hosts that may know the origin have answered that they don't."""
    UNANSWERED = auto()
    """Some of them have not answered yet."""


Found = tuple[StreamOrigin, ...]
"""Origins of a key; several if attempts share an id."""


class Lookup:
    """Remembers which hosts and regions have answered that they know no origin.

    These aren't asked again; all others are.

    Args:
        key: Key of the stream.
    """

    def __init__(self, key: int) -> None:
        self.key = key
        self._denied_hosts: set[HostName] = set()
        self._denied_regions: set[RegionName] = set()
        self._failures: Counter[HostName] = Counter()

    def deny_host(self, name: HostName) -> None:
        """Record that a host doesn't know the origin."""
        self._denied_hosts.add(name)

    def deny_region(self, region: RegionName) -> None:
        """Record that no host of another region knows the origin."""
        self._denied_regions.add(region)

    def fail(self, name: HostName) -> None:
        """Record that a host has not answered; others of its region go first."""
        self._failures[name] += 1

    def local_left(self, names: Iterable[HostName]) -> list[HostName]:
        """Return the hosts of the own region that have not answered."""
        return [name for name in names if name not in self._denied_hosts]

    def remote_left(
        self,
        by_region: Mapping[RegionName, list[HostName]],
        reported: Container[HostName],
    ) -> list[tuple[RegionName, HostName]]:
        """Return some hosts of each other region that has not answered.

        Each of them asks the others of its region. Hosts that are reported at the
        moment go first, and hosts that failed to answer last.
        """

        def preference(name: HostName) -> tuple[int, bool]:
            return self._failures[name], name not in reported

        left = []
        for region, names in by_region.items():
            if region not in self._denied_regions:
                order = rendezvous_order(str(self.key), names)
                order.sort(key=preference)
                left += [(region, name) for name in order[:REMOTE_ASKED]]
        return left
