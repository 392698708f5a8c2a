"""Per-region target lists and the changes between their versions."""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable

import msgspec
from xxhash import xxh64_hexdigest

from bronzepoint_schema.generated.fleet import TargetInfo, TargetList
from bronzepoint_schema.ids import DataCenterName, RegionName

MAX_LIST_VERSIONS = 16
"""Maximum number of versions of a region's list that are kept to compute changes."""

Targets = dict[str, TargetInfo]

_encoder = msgspec.msgpack.Encoder()


class TargetListing:
    """Provides the target list of each region, as changes where possible.

    Each core host reads the list independently. Versions are identified by content
    digests, so an entry host that changes its core host isn't sent the same list twice.

    Args:
        region_of: Returns the region of a data center, or None if it is unknown.
    """

    def __init__(
        self, region_of: Callable[[DataCenterName], RegionName | None]
    ) -> None:
        self._region_of = region_of
        self._versions: dict[RegionName, OrderedDict[str, Targets]] = {}
        self._newest: dict[RegionName, str] = {}

    def update(self, targets: Iterable[TargetInfo]) -> None:
        """Replace all lists with a new reading of the whole list."""
        by_region: dict[RegionName, Targets] = defaultdict(dict)
        for target in targets:
            region = self._region_of(target.data_center)
            if region is not None:
                by_region[region][target.incarnation] = target
        for region in self._newest.keys() | by_region.keys():
            self._update_region(region, by_region[region])

    def _update_region(self, region: RegionName, targets: Targets) -> None:
        digest = content_digest(targets.values())
        versions = self._versions.setdefault(region, OrderedDict())
        versions[digest] = targets
        versions.move_to_end(digest)
        self._newest[region] = digest
        while len(versions) > MAX_LIST_VERSIONS:
            versions.popitem(last=False)

    def changes_since(
        self, region: RegionName, known: str, age_ms: int
    ) -> TargetList | None:
        """Return the changes to a region's targets that a host lacks, or None.

        Args:
            region: Region of the host.
            known: Digest of the list that the host holds; empty if it holds none.
            age_ms: Milliseconds since the list was read.
        """
        digest = self._newest.get(region, NO_TARGETS)
        if known == digest:
            return None
        targets = self._versions[region][digest] if region in self._versions else {}
        base = self._versions.get(region, {}).get(known)
        if base is None:
            return TargetList(digest, "", age_ms, list(targets.values()), [])
        changed = [
            target
            for name, target in targets.items()
            if name not in base
            or without_countdown(base[name]) != without_countdown(target)
        ]
        gone = sorted(base.keys() - targets.keys())
        return TargetList(digest, known, age_ms, changed, gone)


def without_countdown(target: TargetInfo) -> TargetInfo:
    """Return a target with its remaining cold time reduced to whether it is cold."""
    return msgspec.structs.replace(target, cold_ms=int(target.cold_ms > 0))


def content_digest(targets: Iterable[TargetInfo]) -> str:
    """Return a digest of targets that ignores their order and remaining cold time."""
    ordered = sorted(targets, key=lambda target: target.incarnation)
    return xxh64_hexdigest(
        _encoder.encode([without_countdown(target) for target in ordered])
    )


NO_TARGETS = content_digest(())
"""Digest of an empty target list."""
