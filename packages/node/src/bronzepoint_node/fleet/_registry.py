"""Entry hosts and hosts of the core that were heard of lately."""

from collections.abc import Iterable

import msgspec

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.fleet import CoreHost, EntryHost, RegionLoad
from bronzepoint_schema.ids import HostName, RegionName

ENTRY_EXPIRY = 1.8
"""Seconds after which an entry host that says nothing is named to nobody.

Four of its messages: a lost one must not take a host away from its callers, and a
dead host is to be forgotten before callers have run into it twice.
"""
CORE_EXPIRY = 4.0
LOAD_EXPIRY = 3.0
LAST_RESORT = 10.0
"""Seconds for which hosts and loads are kept beyond that: where nothing newer is
known, an old word is better than a refusal."""


class Registry:
    """Who lives and how busy the regions are, with the age of each word.

    Ages travel in milliseconds and become local times on arrival, so that no two
    clocks are compared.
    """

    def __init__(self) -> None:
        self._entries: dict[HostName, tuple[float, EntryHost]] = {}
        self._core: dict[HostName, tuple[float, RegionName]] = {}
        self._loads: dict[tuple[RegionName, str], tuple[float, RegionLoad]] = {}

    def hear_entries(self, hosts: Iterable[EntryHost]) -> None:
        """Take newer word of entry hosts."""
        now = monotonic()
        for host in hosts:
            at = now - host.age_ms / 1000
            known = self._entries.get(host.name)
            if known is None or at > known[0]:
                self._entries[host.name] = (at, host)

    def hear_core(self, hosts: Iterable[CoreHost]) -> None:
        """Take newer word of hosts of the core."""
        now = monotonic()
        for host in hosts:
            at = now - host.age_ms / 1000
            known = self._core.get(host.name)
            if known is None or at > known[0]:
                region = host.region or (known[1] if known else host.region)
                self._core[host.name] = (at, region)

    def hear_loads(self, loads: Iterable[RegionLoad]) -> None:
        """Take newer word of loads."""
        now = monotonic()
        for load in loads:
            at = now - load.age_ms / 1000
            key = (load.region, load.service)
            known = self._loads.get(key)
            if known is None or at > known[0]:
                self._loads[key] = (at, load)

    def entries(self, expiry: float = ENTRY_EXPIRY) -> list[EntryHost]:
        """Return the entry hosts heard of within ``expiry`` seconds."""
        now = monotonic()
        for name, (at, _) in list(self._entries.items()):
            if now - at > LAST_RESORT:
                del self._entries[name]
        return [
            msgspec.structs.replace(host, age_ms=_ms(now - at))
            for at, host in self._entries.values()
            if now - at <= expiry
        ]

    def core(self) -> list[CoreHost]:
        """Return the hosts of the core that live."""
        now = monotonic()
        for name, (at, _) in list(self._core.items()):
            if now - at > CORE_EXPIRY:
                del self._core[name]
        return [
            CoreHost(name, region, _ms(now - at))
            for name, (at, region) in self._core.items()
        ]

    def loads(self, expiry: float = LOAD_EXPIRY) -> list[RegionLoad]:
        """Return the loads that are not older than ``expiry`` seconds."""
        now = monotonic()
        for key, (at, _) in list(self._loads.items()):
            if now - at > LAST_RESORT:
                del self._loads[key]
        return [
            msgspec.structs.replace(load, age_ms=_ms(now - at))
            for at, load in self._loads.values()
            if now - at <= expiry
        ]


def _ms(seconds: float) -> int:
    return max(0, int(seconds * 1000))
