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
LOST_RETENTION = 86_400.0
"""Seconds for which a lost host is remembered, counted to the newest report of another
host of its role. A host that hears nobody forgets nobody."""
MAX_LOST_HOSTS = 1024
"""Maximum number of lost hosts that are remembered, about 0.4 MB."""

Key = TypeVar("Key")
Word = TypeVar("Word", EntryHost, CoreHost, RegionLoad)


class _LatestReports(Generic[Key, Word]):
    """The newest report for each key and the local time to which it refers.

    Args:
        max_lost: Maximum number of outdated reports that are kept.
        own: Key of this host's own report.
    """

    def __init__(self, max_lost: int = 0, own: Key | None = None) -> None:
        self._max_lost = max_lost
        self._own = own
        self._reports: dict[Key, tuple[float, Word]] = {}
        self._lost: dict[Key, tuple[float, Word]] = {}
        self._newest_at = float("-inf")
        self._cached_results: dict[float, tuple[float, list[Word]]] = {}

    def merge(self, key: Key, report: Word) -> None:
        """Store a report if it is newer than the stored one."""
        at = monotonic() - report.age_ms / 1000
        stored = self._stored(key)
        if stored is not None and at <= stored[0]:
            return
        was_lost = self._lost.pop(key, None) is not None
        self._reports[key] = (at, report)
        if key != self._own:
            self._newest_at = max(self._newest_at, at)
        if stored is None or was_lost or _differs(stored[1], report):
            # Cached results may have outdated ages but not outdated content.
            self._cached_results.clear()

    def get(self, key: Key) -> Word | None:
        """Return the report for a key regardless of its age."""
        stored = self._stored(key)
        return stored[1] if stored is not None else None

    def newer_than(self, expiry: float) -> list[Word]:
        """Return the reports younger than ``expiry`` seconds with current ages."""
        now = monotonic()
        cached = self._cached_results.get(expiry)
        if cached is None or now - cached[0] > RESULT_CACHE_TIME:
            cached = self._cached_results[expiry] = (now, self._collect(expiry, now))
        return list(cached[1])

    def by_age(self, older_than: float = 0.0) -> list[Word]:
        """Return reports with current ages, the newest first.

        Args:
            older_than: Minimum age in seconds.
        """
        self._limit_lost()
        now = monotonic()
        stored = [
            known
            for reports in (self._reports, self._lost)
            for known in reports.values()
            if now - known[0] >= older_than
        ]
        stored.sort(key=lambda known: known[0], reverse=True)
        return [_aged(known, now) for known in stored]

    def _stored(self, key: Key) -> tuple[float, Word] | None:
        return self._reports.get(key) or self._lost.get(key)

    def _collect(self, expiry: float, now: float) -> list[Word]:
        for key, known in list(self._reports.items()):
            if now - known[0] > MAX_REPORT_AGE:
                del self._reports[key]
                if self._max_lost:
                    self._lost[key] = known
                    self._limit_lost()
        return [
            _aged(known, now)
            for known in self._reports.values()
            if now - known[0] <= expiry
        ]

    def _limit_lost(self) -> None:
        """Remove the lost hosts beyond the limits, those heard first before others."""
        oldest = self._newest_at - LOST_RETENTION
        excess = len(self._lost) - self._max_lost
        by_age = sorted(self._lost.items(), key=lambda item: item[1][0])
        for number, (key, (at, _)) in enumerate(by_age):
            if number >= excess and at >= oldest:
                break
            del self._lost[key]


def _aged(stored: tuple[float, Word], now: float) -> Word:
    """Return a report with its age at this time."""
    at, report = stored
    age_ms = max(0, int((now - at) * 1000))
    return msgspec.structs.replace(report, age_ms=age_ms)


def _differs(one: Word, other: Word) -> bool:
    """Return whether two reports of one key differ in more than their age."""
    return msgspec.structs.replace(one, age_ms=other.age_ms) != other


class Registry:
    """Live hosts and region loads, each with the age of its report.

    Messages carry ages in milliseconds, which are converted to local times on arrival.
    This avoids comparing the clocks of two hosts.

    Args:
        own: Name of this host, if it reports itself to its own registry.

    Attributes:
        versions: Software versions of the services that have several.
    """

    def __init__(self, own: HostName | None = None) -> None:
        self.versions = ServiceVersions()
        self._entries: _LatestReports[HostName, EntryHost] = _LatestReports(
            MAX_LOST_HOSTS
        )
        self._core: _LatestReports[HostName, CoreHost] = _LatestReports(
            MAX_LOST_HOSTS, own
        )
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

    def known_core(self) -> list[CoreHost]:
        """Return the live and the lost core hosts, those heard last first."""
        return self._core.by_age()

    def known_entries(self) -> list[EntryHost]:
        """Return the live and the lost entry hosts, those heard last first."""
        return self._entries.by_age()

    def lost_core(self) -> list[CoreHost]:
        """Return the core hosts that are remembered only, those heard last first."""
        return self._core.by_age(CORE_EXPIRY)

    def lost_entries(self) -> list[EntryHost]:
        """Return the entry hosts that are remembered only, those heard last first.

        An entry host may be late for some seconds without being lost.
        """
        return self._entries.by_age(CORE_EXPIRY)

    def last_core(self) -> list[CoreHost]:
        """Return the core hosts that were live when this host last heard of any."""
        known = self.known_core()
        return [
            host
            for host in known
            if host.age_ms <= known[0].age_ms + CORE_EXPIRY * 1000
        ]

    def loads(self, expiry: float = LOAD_EXPIRY) -> list[RegionLoad]:
        """Return the loads reported within the last ``expiry`` seconds."""
        return self._loads.newer_than(expiry)
