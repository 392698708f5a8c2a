"""Selects the hosts of the region that keep the register of a key."""

from collections.abc import Callable, Iterable

import xxhash

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.run_once._clock import Clock
from bronzepoint_node.run_once._keys import KeyWindow, key_time
from bronzepoint_schema.generated.run_once import HostList
from bronzepoint_schema.ids import HostName


def majority(count: int) -> int:
    """Return how many of `count` replicas are a majority."""
    return count // 2 + 1


def choose_owners(
    key: bytes, hosts: Iterable[HostName], copies: int
) -> tuple[HostName, ...]:
    """Return the owners of a key by rendezvous hashing, highest score first."""
    return tuple(rendezvous_order(key.hex(), hosts)[:copies])


def fingerprint(hosts: Iterable[HostName]) -> int:
    """Return a hash that is the same on two hosts only for equal sets of hosts."""
    return xxhash.xxh64_intdigest("\0".join(sorted(hosts)).encode())


class Owners:
    """Keeps the lists of the region's hosts over time, and selects a key's owners.

    If two hosts selected a key's owners from different lists, each could reach a
    majority of its own and the request would run twice. So a host always uses the
    same list for a key: keys that may have been used before it adopted a newer list
    stay with the older one. Each message includes a fingerprint of the owners.

    The list only grows while the process runs: a failed host must still be counted,
    otherwise the rest would compute the majority from too small a number.

    Args:
        name: This host.
        region_hosts: Returns all hosts of the region, live or not.
        copies: Number of owners of each key.
        window: Determines which keys are in use.
        clock: Source of the wall time.

    Attributes:
        history: Lists of the region's hosts, newest last.
        fingerprint: Fingerprint of the newest list.
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
        """Set the initial list, which is treated as if it had always been used."""
        first = sorted({self._name, *self._region_hosts()})
        self.history = [HostList(hosts=first, since=0)]
        self.fingerprint = fingerprint(first)

    @property
    def hosts(self) -> list[HostName]:
        """The newest list of the region's hosts."""
        return self.history[-1].hosts

    @property
    def since(self) -> int:
        """Unix time (ms) at which the newest list was adopted; 0 if it is the first."""
        return self.history[-1].since

    def listed_since(self, host: HostName) -> int:
        """Return when (Unix ms) a host was first listed; 0 if it always was."""
        times = [listed.since for listed in self.history if host in listed.hosts]
        return min(times, default=self.since)

    def restore(self, history: list[HostList]) -> None:
        """Restore the lists that this host used before it restarted."""
        listed = self.hosts
        self.history = history
        self.fingerprint = fingerprint(self.hosts)
        self.add(listed)

    def refresh(self) -> bool:
        """Add new hosts of the region; return whether there were any."""
        return self.add(self._region_hosts())

    def add(self, hosts: Iterable[HostName]) -> bool:
        """Add new hosts to the list from now on; return whether there were any."""
        known = set(self.hosts)
        if known.issuperset(hosts):
            return False
        merged = sorted(known.union(hosts))
        self.history.append(HostList(hosts=merged, since=self._clock.wall_ms()))
        self.fingerprint = fingerprint(merged)
        return True

    def prune(self) -> None:
        """Remove lists that determine the owners of no key in use."""
        while len(self.history) > 1:
            if self._window.is_in_use(
                self._window.newest_old_list_key(self.history[1].since)
            ):
                return
            del self.history[0]
            self.history[0] = HostList(hosts=self.history[0].hosts, since=0)

    def of(self, key: bytes) -> tuple[HostName, ...]:
        """Return the owners of a key; they never change for a key."""
        return choose_owners(key, self._list_for(key).hosts, self._copies)

    def is_new_owner(self, key: bytes) -> bool:
        """Return whether this host owns the key only since a newer list."""
        position = self.history.index(self._list_for(key))
        if position == 0:
            return False
        before = self.history[position - 1].hosts
        return self._name not in choose_owners(key, before, self._copies)

    def _list_for(self, key: bytes) -> HostList:
        created = key_time(key)
        for hosts in reversed(self.history):
            if created > self._window.newest_old_list_key(hosts.since):
                return hosts
        return self.history[0]
