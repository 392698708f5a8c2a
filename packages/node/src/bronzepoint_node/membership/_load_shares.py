"""The load of this host's region, added up by its relays."""

from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_schema.generated.membership import EntryLoad, EntryShare
from bronzepoint_schema.ids import EntryName, HostName


class LoadShares:
    """Keeps what each host said of its part and adds the parts up.

    Args:
        clock: Time in which this process ran.
    """

    def __init__(self, clock: RunningClock) -> None:
        self._clock = clock
        self._shares: dict[HostName, tuple[float, list[EntryShare]]] = {}

    def put(self, host: HostName, entries: list[EntryShare]) -> None:
        """Keep one host's part."""
        self._shares[host] = (self._clock.now(), entries)

    def sum(self, lifetime: float) -> dict[EntryName, EntryLoad]:
        """Return the load of each entry, without parts older than the lifetime."""
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
        # Each host sees the slots of the whole region, though not quite the same.
        slots=round(sum(share.slots for share in shares) / count),
        in_progress=sum(share.in_progress for share in shares),
        expected_wait=sum(share.expected_wait for share in shares) / count,
        cost=sum(share.cost for share in shares) / count,
    )
