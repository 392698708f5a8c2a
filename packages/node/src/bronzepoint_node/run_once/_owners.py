"""Which hosts of the region keep the record of a key."""

from collections.abc import Callable, Iterable

import xxhash

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.run_once._clock import Clock
from bronzepoint_node.run_once._keys import KeyWindow, key_time
from bronzepoint_schema.generated.run_once import HostList
from bronzepoint_schema.ids import HostName


def majority(count: int) -> int:
    """Return how many of `count` copies are a majority."""
    return count // 2 + 1


def choose_owners(
    key: bytes, hosts: Iterable[HostName], copies: int
) -> tuple[HostName, ...]:
    """Return the hosts that keep a key, by rendezvous hash, highest first."""
    return tuple(rendezvous_order(key.hex(), hosts)[:copies])


def fingerprint(hosts: Iterable[HostName]) -> int:
    """Return a number that two hosts share only if they mean the same hosts."""
    return xxhash.xxh64_intdigest("\0".join(sorted(hosts)).encode())


class Owners:
    """The region's hosts over time, and the owners of each key among them.

    Two hosts that place a key by different lists could each find a majority of their
    own, and the request would run twice. So a host judges each key by one list for
    ever: keys that may have been seen before it took a newer list stay with the
    older one, and each message names the owners it means.

    The list only grows while the process lives: a host that is down must still be
    counted, else the rest would take a smaller majority for a whole one.

    Args:
        name: This host.
        region_hosts: All hosts of the region, live or not.
        copies: Owners of each key.
        window: Which keys are in use.
        clock: Tells the wall time.

    Attributes:
        history: Lists of the region's hosts, newest last.
        fingerprint: Fingerprint of the newest.
    """

    def __init__(
        self,
        name: HostName,
        region_hosts: Callable[[], list[HostName]],
        copies: int,
        window: KeyWindow,
        clock: Clock,
    ) -> None:
        self._name = name
        self._region_hosts = region_hosts
        self._copies = copies
        self._window = window
        self._clock = clock
        self.history = [HostList(hosts=[name], since=0)]
        self.fingerprint = fingerprint([name])

    def begin(self) -> None:
        """Take the first list, which counts as the one that always was."""
        first = sorted({self._name, *self._region_hosts()})
        self.history = [HostList(hosts=first, since=0)]
        self.fingerprint = fingerprint(first)

    @property
    def hosts(self) -> list[HostName]:
        """The newest list of the region's hosts."""
        return self.history[-1].hosts

    @property
    def since(self) -> int:
        """Unix time (ms) at which this host took the newest list; 0: always."""
        return self.history[-1].since

    def since_of(self, host: HostName) -> int:
        """Return when (Unix ms) this host first counted another; 0: always."""
        times = [listed.since for listed in self.history if host in listed.hosts]
        return min(times, default=self.since)

    def restore(self, history: list[HostList]) -> None:
        """Take the lists that this host used before it restarted."""
        listed = self.hosts
        self.history = history
        self.fingerprint = fingerprint(self.hosts)
        self.add(listed)

    def refresh(self) -> bool:
        """Take in new hosts of the region; True where there were any."""
        return self.add(self._region_hosts())

    def add(self, hosts: Iterable[HostName]) -> bool:
        """Take in new hosts from now on; True where there were any."""
        known = set(self.hosts)
        if known.issuperset(hosts):
            return False
        merged = sorted(known.union(hosts))
        self.history.append(HostList(hosts=merged, since=self._clock.wall_ms()))
        self.fingerprint = fingerprint(merged)
        return True

    def prune(self) -> None:
        """Forget lists by which no key in use is placed any more."""
        while len(self.history) > 1:
            if self._window.in_use(self._window.switched(self.history[1].since)):
                return
            del self.history[0]
            self.history[0] = HostList(hosts=self.history[0].hosts, since=0)

    def of(self, key: bytes) -> tuple[HostName, ...]:
        """Return the owners of a key; for one key always the same."""
        return choose_owners(key, self._list_for(key).hosts, self._copies)

    def newly_mine(self, key: bytes) -> bool:
        """Tell whether a newer list made this host an owner of the key."""
        position = self.history.index(self._list_for(key))
        if position == 0:
            return False
        before = self.history[position - 1].hosts
        return self._name not in choose_owners(key, before, self._copies)

    def _list_for(self, key: bytes) -> HostList:
        made = key_time(key)
        for hosts in reversed(self.history):
            if made > self._window.switched(hosts.since):
                return hosts
        return self.history[0]
