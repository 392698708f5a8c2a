"""Load of this host's region, summed up by the hosts that report it."""

from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_schema.generated.membership import EntryLoad, EntryShare
from bronzepoint_schema.ids import EntryName, HostName


class LoadShares:
    """Stores the load that each host reported, and sums it up per entry.

    Args:
        clock: Clock that excludes pauses of this process.
    """

    def __init__(self, clock: RunningClock) -> None:
        self._clock = clock
        self._shares: dict[HostName, tuple[float, list[EntryShare]]] = {}

    def put(self, host: HostName, entries: list[EntryShare]) -> None:
        """Store the load reported by one host."""
        self._shares[host] = (self._clock.now(), entries)

    def sum(self, lifetime: float) -> dict[EntryName, EntryLoad]:
        """Return the load of each entry, without reports older than `lifetime` (s)."""
        oldest = self._clock.now() - lifetime
        self._shares = {
            host: share for host, share in self._shares.items() if share[0] >= oldest
        }
        by_entry: dict[EntryName, list[EntryShare]] = {}
        for _, entries in self._shares.values():
            for share in entries:
                by_entry.setdefault(share.entry, []).append(share)
        return {entry: _add(shares) for entry, shares in by_entry.items()}


def _add(shares: list[EntryShare]) -> EntryLoad:
    count = len(shares)
    return EntryLoad(
        # Each host reports the slots of the whole region, with small differences.
        slots=round(sum(share.slots for share in shares) / count),
        in_progress=sum(share.in_progress for share in shares),
        expected_wait=sum(share.expected_wait for share in shares) / count,
        cost=sum(share.cost for share in shares) / count,
    )
