"""Software versions of the targets of each service, over the last minute."""

from collections.abc import Callable, Iterable

from bronzepoint_node.fleet import VERSION_RETENTION
from bronzepoint_schema.generated.fleet import ServiceVersion, TargetInfo
from bronzepoint_schema.ids import DataCenterName, RegionName

VersionKey = tuple[str, str]
"""A service and a software version."""


class VersionHistory:
    """Remembers which software versions the target list named, and when it last did.

    A version that has left the list stays known for as long as streams that began at
    it may be resumed: otherwise a service with one version left would look as if all
    its streams had begun there.

    Args:
        region_of: Returns the region of a data center, or None if it is unknown.
    """

    def __init__(
        self, region_of: Callable[[DataCenterName], RegionName | None]
    ) -> None:
        self._region_of = region_of
        self._listed_at: dict[VersionKey, float] = {}
        self._regions: dict[VersionKey, set[RegionName]] = {}
        self._first_read_at: float | None = None
        self._confirmed = False

    def update(self, targets: Iterable[TargetInfo], read_at: float) -> None:
        """Record the versions of a reading of the whole list, at monotonic seconds."""
        if self._first_read_at is None:
            self._first_read_at = read_at
        self._regions = {}
        for target in targets:
            key = (target.service, target.software_version)
            self._listed_at[key] = read_at
            regions = self._regions.setdefault(key, set())
            region = self._region_of(target.data_center)
            if region is not None and not target.leaving:
                regions.add(region)

    def merge(self, versions: Iterable[ServiceVersion], now: float) -> None:
        """Record versions that another host knows, or this one did before a restart."""
        for version in versions:
            key = (version.service, version.software_version)
            listed_at = now - version.age_ms / 1000
            self._listed_at[key] = max(listed_at, self._listed_at.get(key, listed_at))

    def confirm(self) -> None:
        """Note that no version of the last minute is missing."""
        self._confirmed = True

    def is_complete(self, now: float) -> bool:
        """Return whether all versions of the last minute are known."""
        if self._confirmed:
            return True
        began = self._first_read_at
        return began is not None and now - began >= VERSION_RETENTION

    def versions(self, now: float) -> list[ServiceVersion]:
        """Return the versions of all services that were listed recently."""
        self._listed_at = {
            key: at
            for key, at in self._listed_at.items()
            if now - at <= VERSION_RETENTION
        }
        return [
            ServiceVersion(service, version, [], int((now - at) * 1000))
            for (service, version), at in sorted(self._listed_at.items())
        ]

    def report(self, now: float) -> list[ServiceVersion]:
        """Return the versions of all services that have had several recently."""
        versions = self.versions(now)
        counts: dict[str, int] = {}
        for version in versions:
            counts[version.service] = counts.get(version.service, 0) + 1
        several = [version for version in versions if counts[version.service] > 1]
        for version in several:
            key = (version.service, version.software_version)
            version.regions = sorted(self._regions.get(key, ()))
        return several
