"""Checks of a request against the current catalogue, right before it is sent."""

from bronzepoint_node.entry._call import check_route
from bronzepoint_node.entry._dependencies import CatalogueLike
from bronzepoint_node.entry._dispatch_refusals import residency_refused
from bronzepoint_node.entry._refusals import refused
from bronzepoint_node.entry._residency import allows
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry, Target
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import RegionName, TargetName


class CatalogueCheck:
    """Checks requests against this host's current view of the catalogue.

    A request may wait in a queue between its placement and the send, while this host
    receives a catalogue change. If only the view at its arrival counted, the request
    could be served in a region that its residency no longer allows, or by a target
    that is leaving.

    Args:
        catalogue: This host's view of the catalogue.
    """

    def __init__(self, catalogue: CatalogueLike) -> None:
        self._catalogue = catalogue

    def entry(self, request: ServedRequest) -> ModelEntry | ServiceEntry:
        """Return the current entry of a request.

        Raises:
            RequestRefused: The entry was removed or has no such route any more.
        """
        entry = self._catalogue.entry(request.entry.name)
        if entry is None:
            raise refused(
                RefusalKind.unknown_entry,
                f"Entry {request.entry.name!r} was removed while the request waited.",
                "Use an entry that is in the catalogue.",
            )
        check_route(request.call, entry)
        return entry

    def region(
        self, request: ServedRequest, region: RegionName
    ) -> ModelEntry | ServiceEntry:
        """Return the current entry if it may be served in a region.

        Raises:
            RequestRefused: The residency rules forbid the region, or see `entry`.
        """
        entry = self.entry(request)
        if not allows(request.allowed_by(entry), region):
            raise residency_refused(request, region)
        return entry

    def target(
        self, request: ServedRequest, region: RegionName, name: TargetName
    ) -> Target | None:
        """Return a target of a region; None: it takes no new requests."""
        for target in self.region(request, region).targets:
            usable = target.region == region and not target.leaving
            if target.name == name and usable:
                return target
        return None
