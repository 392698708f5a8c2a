"""What the catalogue says of a request now, not when it came in."""

from bronzepoint_node.entry._call import check_route
from bronzepoint_node.entry._collaborators import CatalogueLike
from bronzepoint_node.entry._dispatch_refusals import residency_refused
from bronzepoint_node.entry._refusals import refused
from bronzepoint_node.entry._residency import allows
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry, Target
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import RegionName, TargetName


class CatalogueCheck:
    """Checks requests against this host's newest view.

    Between the decision and the send a request may have waited in a line, and this
    host may have learned of a change. Decided on the view of its arrival, it could be
    served where its residency forbids it by now, or by a target that is leaving.

    Args:
        catalogue: This host's view.
    """

    def __init__(self, catalogue: CatalogueLike) -> None:
        self._catalogue = catalogue

    def entry(self, request: ServedRequest) -> ModelEntry | ServiceEntry:
        """Return the request's entry; refuses it where the entry is gone."""
        entry = self._catalogue.entry(request.entry.name)
        if entry is None:
            raise refused(
                RefusalKind.unknown_entry,
                f"Entry {request.entry.name!r} was removed meanwhile.",
                "Use an entry that the catalogue has.",
            )
        check_route(request.call, entry)
        return entry

    def region(
        self, request: ServedRequest, region: RegionName
    ) -> ModelEntry | ServiceEntry:
        """Refuse the request where it may not be served in a region."""
        entry = self.entry(request)
        if not allows(request.allowed_by(entry), region):
            raise residency_refused(request, region)
        return entry

    def target(
        self, request: ServedRequest, region: RegionName, name: TargetName
    ) -> Target | None:
        """Return a target of a region; None: no new work for it."""
        for target in self.region(request, region).targets:
            usable = target.region == region and not target.leaving
            if target.name == name and usable:
                return target
        return None
