"""Where a stream may go on that its caller or this host resumes."""

from bronzepoint_node.fleet import Registry
from bronzepoint_node.placement import Rejected, RejectReason
from bronzepoint_node.stream_origins import (
    AmbiguousOrigin,
    Origins,
    StreamOrigin,
    UnansweredOrigin,
)

from ._answer_writer import DEFAULT_RETRY_AFTER
from ._call import Call

SEARCH_SHARE = 0.5
"""Part of the time left for which hosts that may know an origin are asked. The rest is
for the stream, or for another try of its caller at another host."""


class ResumptionCheck:
    """Binds a resumed stream to the service and software version that began it.

    Args:
        origins: Knows where streams began.
        registry: Software versions of the services.
    """

    def __init__(self, origins: Origins, registry: Registry) -> None:
        self._origins = origins
        self._registry = registry

    async def check(self, call: Call) -> Rejected | None:
        """Set the origin of a resumed stream; return why it can't go on, if so.

        If no host knows the origin, the stream may go on only while its service has a
        single version. While hosts that may know it have not answered, the refusal
        isn't final.
        """
        if not call.is_resumed:
            return None
        service, origin = call.service, call.origin
        if origin is None and self._needs_search(call):
            try:
                origin = await self._find(call)
            except AmbiguousOrigin:
                call.notes.append("its attempt's id has begun streams of two versions")
                return _refused(RejectReason.ORIGIN_UNKNOWN)
            except UnansweredOrigin:
                # A host that is late, or cut off, may still know it.
                return Rejected(RejectReason.ORIGIN_UNCONFIRMED, DEFAULT_RETRY_AFTER)
            call.origin = origin
            call.is_origin_unknown = origin is None
        if origin is not None and not _may_use(call, origin):
            return _refused(RejectReason.VERSION_GONE)
        is_bound = origin is not None and origin.software_version
        if not is_bound and self._registry.versions.several(service):
            return _refused(RejectReason.ORIGIN_UNKNOWN)
        return None

    def _needs_search(self, call: Call) -> bool:
        """Return whether the origin is to be searched, also once more.

        What no host knew while the service had a single version is searched again only
        once it may have several.
        """
        if call.exchange.started:
            return False
        is_single = self._registry.versions.is_single(call.service)
        return not (call.is_origin_unknown and is_single)

    async def _find(self, call: Call) -> StreamOrigin | None:
        if call.names_attempt or not self._registry.versions.is_single(call.service):
            patience = SEARCH_SHARE * call.time_left
            return await self._origins.find(call.origin_key, call.service, patience)
        # No other host can know a stream by the id of this very request.
        return self._origins.find_here(call.origin_key)

    def is_outdated(self, call: Call) -> bool:
        """Return whether a second version has appeared since the check of a stream."""
        versions = self._registry.versions
        return (
            call.is_resumed and call.origin is None and versions.several(call.service)
        )


def _may_use(call: Call, origin: StreamOrigin) -> bool:
    """Return whether the route still uses the service that began the stream."""
    return any(share.service == origin.service for share in call.route.shares)


def _refused(reason: RejectReason) -> Rejected:
    return Rejected(reason, 0.0, final=True)
