"""Which path means what."""

from msgspec import Struct

from bronzepoint_common.http import Request
from bronzepoint_node.entry._refusals import refused
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import EntryName, RequestId


class ChatRoute(Struct, frozen=True):
    """A model call."""


class ServiceRoute(Struct, frozen=True):
    """A call of a plain service; ``path`` starts with '/'."""

    entry: EntryName
    path: str


class HostsRoute(Struct, frozen=True):
    """Which hosts a caller should use."""


class WhyRoute(Struct, frozen=True):
    """The decision records of a request."""

    request_id: RequestId


class HealthRoute(Struct, frozen=True):
    """Whether this process serves."""


class AdminRoute(Struct, frozen=True):
    """An operator's call.

    Attributes:
        parts: The method, then what follows ``/v1/admin/``.
    """

    parts: tuple[str, ...]


Route = ChatRoute | ServiceRoute | HostsRoute | WhyRoute | HealthRoute | AdminRoute


def route_of(request: Request) -> Route:
    """Return what a request asks for; refuses paths that mean nothing."""
    parts = request.path.split("/")[1:]
    match request.method, parts:
        case "POST", ["v1", "chat", "completions"]:
            return ChatRoute()
        case _, ["v1", "services", entry, *rest] if entry:
            return ServiceRoute(EntryName(entry), "/" + "/".join(rest))
        case "GET", ["v1", "hosts"]:
            return HostsRoute()
        case "GET", ["v1", "why", request_id] if request_id:
            return WhyRoute(RequestId(request_id))
        case "GET", ["v1", "health"]:
            return HealthRoute()
        case _, ["v1", "admin", *rest] if rest:
            return AdminRoute((request.method, *rest))
    raise refused(
        RefusalKind.not_found,
        f"There is nothing at {request.method} {request.path[:200]}.",
        "Use one of the paths in docs/INTERFACE.md.",
    )


__all__ = [
    "AdminRoute",
    "ChatRoute",
    "HealthRoute",
    "HostsRoute",
    "Route",
    "ServiceRoute",
    "WhyRoute",
    "route_of",
]
