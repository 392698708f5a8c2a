"""Software versions that the targets of a service run side by side."""

from collections.abc import Iterable

from msgspec import Struct

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.fleet import ServiceVersion
from bronzepoint_schema.ids import RegionName

VERSION_RETENTION = 60.0
"""Seconds for which a version is remembered after it has left the target list, longer
than a caller resumes a stream."""
MAX_LIST_SKEW = 3.0
"""Seconds by which the core hosts' readings of the list may differ in age. A version
that was last listed longer than this before another one is listed no more."""
MAX_READING_AGE = 3.0
"""Seconds since a reading of the list up to which a version that it lacks is too new to
have begun a stream whose host and keepers are all beyond reach."""

MAX_CONTACT_GAP = 1.5
"""Seconds between two queries that the core has answered above which this host, or the
core, may have been suspended. A core host that runs reads the list once a second."""
MAX_SYNC_PAUSE = 0.4
"""Seconds between two reports of the core to a host."""
NEW_VERSION_TIME = MAX_READING_AGE + MAX_SYNC_PAUSE
"""Seconds since a version was first reported here for which other hosts may not have
heard of it, and take its service for one with a single version."""


class _Listed(Struct):
    """When a version was last listed and first reported here, and where it serves.

    Both times are monotonic seconds.
    """

    at: float
    regions: frozenset[RegionName]
    reported_at: float


class ServiceVersions:
    """Versions of the services that have several of them, as the core reports them."""

    def __init__(self) -> None:
        self._versions: dict[str, dict[str, _Listed]] = {}
        self._complete_at = float("-inf")
        self._read_at = float("-inf")
        self._heard_since = float("-inf")
        self._heard_at = float("-inf")
        self._heard_read_at = float("-inf")

    def merge(self, reports: Iterable[ServiceVersion]) -> None:
        """Merge reports of a core host, keeping the newer ones."""
        now = monotonic()
        for report in reports:
            versions = self._versions.setdefault(report.service, {})
            at = now - report.age_ms / 1000
            known = versions.get(report.software_version)
            if known is None or at > known.at:
                reported_at = now if known is None else known.reported_at
                listed = _Listed(at, frozenset(report.regions), reported_at)
                versions[report.software_version] = listed

    def confirm(self, read_at: float, asked_at: float | None = None) -> None:
        """Note that a core host that knows all versions has just reported them.

        Args:
            read_at: Monotonic time at which that host read the list.
            asked_at: Monotonic time at which it was asked; None: now.
        """
        now = monotonic()
        self._complete_at = now
        self._read_at = max(self._read_at, read_at)
        self._note_contact(read_at, now if asked_at is None else asked_at)

    def _note_contact(self, read_at: float, asked_at: float) -> None:
        if asked_at < self._heard_at:
            return
        if asked_at - self._heard_at > MAX_CONTACT_GAP:
            self._heard_since = asked_at
        self._heard_at, self._heard_read_at = asked_at, read_at

    def is_complete(self) -> bool:
        """Return whether no service has a version that isn't known here.

        A host that has just started has heard of none, and one that the core hasn't
        reported to for a minute may have missed some.
        """
        return monotonic() - self._complete_at <= VERSION_RETENTION

    def is_single(self, service: str) -> bool:
        """Return whether a service certainly has one version, by a current reading.

        A host that was suspended or cut off has the reading of before. A newer one may
        name a version that has begun streams meanwhile.
        """
        is_current = monotonic() - self._read_at <= MAX_READING_AGE
        is_current = is_current or self._is_list_silent()
        return is_current and self.is_complete() and not self.several(service)

    def _is_list_silent(self) -> bool:
        """Return whether the core can't read the list, so that nobody has a newer one.

        The core has answered for longer than a core host that has just resumed takes to
        read the list, and the last one that did isn't behind the others.
        """
        is_heard = monotonic() - self._heard_at <= MAX_READING_AGE
        is_lasting = self._heard_at - self._heard_since >= MAX_READING_AGE
        # Without any reading this difference isn't a number, and the list not silent.
        is_level = self._read_at - self._heard_read_at <= MAX_LIST_SKEW
        return is_heard and is_lasting and is_level

    def services(self) -> set[str]:
        """Return the services that have, or recently had, several versions."""
        return {service for service in list(self._versions) if self.several(service)}

    def several(self, service: str) -> bool:
        """Return whether a service has, or recently had, several versions."""
        versions = self._versions.get(service)
        if versions is None:
            return False
        oldest = monotonic() - VERSION_RETENTION
        for version in [v for v, listed in versions.items() if listed.at < oldest]:
            del versions[version]
        if len(versions) > 1:
            return True
        if not versions:
            del self._versions[service]
        return False

    def is_new(self, service: str, version: str) -> bool:
        """Return whether other hosts may not have heard of a version yet."""
        listed = self._versions.get(service, {}).get(version)
        return listed is None or monotonic() - listed.reported_at <= NEW_VERSION_TIME

    def may_serve(self, region: RegionName, service: str, version: str) -> bool:
        """Return whether a region may have targets of a version.

        Args:
            region: The region.
            service: The service.
            version: Software version; empty: any.
        """
        if not version or not self.several(service):
            return True
        versions = self._versions[service]
        listed = versions.get(version)
        if listed is None:
            return False
        newest = max(other.at for other in versions.values())
        return newest - listed.at <= MAX_LIST_SKEW and region in listed.regions
