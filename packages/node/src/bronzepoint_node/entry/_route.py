"""Routing of HTTP requests by method and path."""

from msgspec import Struct

from bronzepoint_common.http import Request
from bronzepoint_node.entry._refusals import refused
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import EntryName, RequestId


class ChatRoute(Struct, frozen=True):
    """A chat-completions call to a model."""


class ServiceRoute(Struct, frozen=True):
    """A call to a plain service; ``path`` starts with '/'."""

    entry: EntryName
    path: str


class HostsRoute(Struct, frozen=True):
    """The list of hosts that a caller should use."""


class WhyRoute(Struct, frozen=True):
    """The decision records of a request."""

    request_id: RequestId


class HealthRoute(Struct, frozen=True):
    """The state of this host."""


class AdminRoute(Struct, frozen=True):
    """An operator's request.

    Attributes:
        parts: The method, followed by the path segments after ``/v1/admin/``.
    """

    parts: tuple[str, ...]


Route = ChatRoute | ServiceRoute | HostsRoute | WhyRoute | HealthRoute | AdminRoute


def route_of(request: Request) -> Route:
    """Return the route of a request.

    Raises:
        RequestRefused: There is no such method and path.
    """
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
