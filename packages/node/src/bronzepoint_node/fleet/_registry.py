"""Registry of live entry hosts, live core hosts and region loads."""

from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.fleet import CoreHost, EntryHost, RegionLoad
from bronzepoint_schema.ids import HostName, RegionName

from ._service_versions import ServiceVersions

ENTRY_EXPIRY = 1.8
"""Seconds since the last report after which an entry host no longer counts as live.

This is about four report intervals: one lost message must not remove a live host, and a
dead host must expire before a caller is likely to reach it twice.
"""
CORE_EXPIRY = 4.0
"""Seconds since the last report after which a core host no longer counts as live."""
LOAD_EXPIRY = 3.0
"""Seconds after which the reported load of a region is out of date."""
COLLECTOR_ORDER = "collector of target loads"
"""Rendezvous hash key for the order in which hosts become collectors of loads."""
RESULT_CACHE_TIME = 0.05
"""Seconds for which query results are cached, as each request makes several queries.
Returned ages may be wrong by this much."""
MAX_REPORT_AGE = 10.0
"""Seconds for which reports are kept, longer than they count as current. If nothing
newer is known, using an old report is better than refusing a request."""

Key = TypeVar("Key")
Word = TypeVar("Word", EntryHost, CoreHost, RegionLoad)


class _LatestReports(Generic[Key, Word]):
    """The newest report for each key and the local time to which it refers."""

    def __init__(self) -> None:
        self._reports: dict[Key, tuple[float, Word]] = {}
        self._cached_results: dict[float, tuple[float, list[Word]]] = {}

    def merge(self, key: Key, report: Word) -> None:
        """Store a report if it is newer than the stored one."""
        at = monotonic() - report.age_ms / 1000
        stored = self._reports.get(key)
        if stored is not None and at <= stored[0]:
            return
        self._reports[key] = (at, report)
        if stored is None or _differs(stored[1], report):
            # Cached results may have outdated ages but not outdated content.
            self._cached_results.clear()

    def get(self, key: Key) -> Word | None:
        """Return the report for a key regardless of its age."""
        stored = self._reports.get(key)
        return stored[1] if stored is not None else None

    def newer_than(self, expiry: float) -> list[Word]:
        """Return the reports younger than ``expiry`` seconds with current ages."""
        now = monotonic()
        cached = self._cached_results.get(expiry)
        if cached is None or now - cached[0] > RESULT_CACHE_TIME:
            cached = self._cached_results[expiry] = (now, self._collect(expiry, now))
        return list(cached[1])

    def _collect(self, expiry: float, now: float) -> list[Word]:
        for key, (at, _) in list(self._reports.items()):
            if now - at > MAX_REPORT_AGE:
                del self._reports[key]
        return [
            msgspec.structs.replace(report, age_ms=max(0, int((now - at) * 1000)))
            for at, report in self._reports.values()
            if now - at <= expiry
        ]


def _differs(one: Word, other: Word) -> bool:
    """Return whether two reports of one key differ in more than their age."""
    return msgspec.structs.replace(one, age_ms=other.age_ms) != other


class Registry:
    """Live hosts and region loads, each with the age of its report.

    Messages carry ages in milliseconds, which are converted to local times on arrival.
    This avoids comparing the clocks of two hosts.

    Attributes:
        versions: Software versions of the services that have several.
    """

    def __init__(self) -> None:
        self.versions = ServiceVersions()
        self._entries: _LatestReports[HostName, EntryHost] = _LatestReports()
        self._core: _LatestReports[HostName, CoreHost] = _LatestReports()
        self._loads: _LatestReports[tuple[RegionName, str], RegionLoad] = (
            _LatestReports()
        )
        self._sizes: dict[RegionName, int] = {}

    def merge_entries(self, hosts: Iterable[EntryHost]) -> None:
        """Merge reports on entry hosts, keeping the newer ones."""
        for host in hosts:
            self._entries.merge(host.name, host)

    def merge_core(self, hosts: Iterable[CoreHost]) -> None:
        """Merge reports on core hosts, keeping the newer ones and known regions."""
        for host in hosts:
            stored = self._core.get(host.name)
            if stored is not None and not host.region:
                host = msgspec.structs.replace(host, region=stored.region)
            self._core.merge(host.name, host)

    def core_region(self, name: HostName) -> RegionName:
        """Return the region of a core host; empty if it is unknown."""
        stored = self._core.get(name)
        return stored.region if stored is not None else RegionName("")

    def merge_loads(self, loads: Iterable[RegionLoad]) -> None:
        """Merge reports on loads, keeping the newer ones."""
        for load in loads:
            self._loads.merge((load.region, load.service), load)

    def entries(self, expiry: float = ENTRY_EXPIRY) -> list[EntryHost]:
        """Return the entry hosts reported within the last ``expiry`` seconds."""
        return self._entries.newer_than(expiry)

    def note_size(self, region: RegionName, hosts: int) -> None:
        """Store how many entry hosts of a region accept requests."""
        self._sizes[region] = hosts

    def size(self, region: RegionName) -> int:
        """Return how many entry hosts of a region accept requests; 0 if unknown.

        In a large region this exceeds the number of hosts in the registry.
        """
        return self._sizes.get(region, 0)

    def core(self) -> list[CoreHost]:
        """Return the live core hosts."""
        return self._core.newer_than(CORE_EXPIRY)

    def loads(self, expiry: float = LOAD_EXPIRY) -> list[RegionLoad]:
        """Return the loads reported within the last ``expiry`` seconds."""
        return self._loads.newer_than(expiry)
