"""Routes, services and limits of one catalogue document."""

import math
from collections import defaultdict
from collections.abc import Sequence
from enum import Enum
from functools import cached_property

from msgspec import Struct

from bronzepoint_schema.ids import KeyDigest, OrganisationName, RegionName

from ._organisation import Organisation
from ._rank_table import RankTable


class RouteKind(Enum):
    """Whether and how the requests on a route may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class ServiceShare(Struct, frozen=True):
    """A service's share of the requests on a route.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the sum of the weights of the route.
    """

    service: str
    weight: float


class ServedRoute(Struct, frozen=True):
    """Settings for the requests of one host name and path prefix.

    Attributes:
        timeout: Seconds for which a caller may wait for an answer.
        objective: Seconds within which an answer has its full value.
        priority: Rank; 0 is served first.
        max_attempts: Maximum number of targets that one request may be sent to.
        resumable: Whether an interrupted stream may resume on another target.
        max_gap: Maximum seconds between two events of a stream; 0 for no limit.
        home_regions: Regions that may serve the route; empty for all.
        is_open: Whether callers without an API key are served too.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    resumable: bool = False
    max_gap: float = 0.0
    home_regions: tuple[RegionName, ...] = ()
    is_open: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


class EngineProperties(Struct, frozen=True):
    """Configured properties of the engines of a service.

    Attributes:
        slots: Maximum number of requests in one batch.
        memory_tokens: Tokens that running requests and cached prompts may occupy.
        backups: Whether a run's memory may be copied to another engine as it grows.
        moves: Whether a run may be moved to another engine.
        event_watchers: Number of long polls for cache events that an engine keeps open.
        event_tokens: Tokens in one event of a stream; 0 if not specified.
        token_bytes: Bytes of memory per token; 0 if not specified.
        link_bytes: Bytes per second between two engines; 0 if not specified.
    """

    slots: int
    memory_tokens: int
    backups: bool = False
    moves: bool = False
    event_watchers: int = 0
    event_tokens: int = 0
    token_bytes: float = 0.0
    link_bytes: float = 0.0

    @property
    def seconds_to_copy(self) -> float:
        """Seconds to copy one token to another engine; inf if not specified."""
        if self.token_bytes <= 0 or self.link_bytes <= 0:
            return math.inf
        return self.token_bytes / self.link_bytes


class ServedService(Struct, frozen=True):
    """A group of targets that answer the same requests.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        max_connections: Maximum number of connections to one target.
        cold_time: Seconds after its start for which a target is cold; 0 for none.
        cold_rate: Requests per second that a cold target can handle.
        engine: Properties of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_time: float = 0.0
    cold_rate: float = 0.0
    engine: EngineProperties | None = None


class CallerLimits(Struct, frozen=True):
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    max_head: int = 16384
    max_body: int = 4194304
    head_timeout: float = 10.0
    idle_timeout: float = 60.0


class ServedCatalogue(Struct, frozen=True, dict=True):
    """One validated catalogue document.

    Attributes:
        version: Version of the document.
        routes: All routes.
        services: Services by name.
        limits: Limits on callers' requests.
        keys: Organisation of each API key, by the key's digest.
        organisations: All organisations, including those without a key; None if callers
            don't need a key.
    """

    version: int
    routes: tuple[ServedRoute, ...]
    services: dict[str, ServedService]
    limits: CallerLimits
    keys: dict[KeyDigest, Organisation] = {}
    organisations: dict[OrganisationName, Organisation] | None = None

    def needs_key(self, route: ServedRoute) -> bool:
        """Return whether a route serves only callers with a known API key."""
        return self.organisations is not None and not route.is_open

    def routes_of(self, host: str) -> Sequence[ServedRoute]:
        """Return the routes of a host name."""
        return self._by_host.get(host, ())

    def find_route(self, host: str, path: str) -> ServedRoute | None:
        """Return the host's route with the longest matching prefix of the path."""
        matching = [r for r in self.routes_of(host) if path.startswith(r.prefix)]
        return max(matching, key=lambda route: len(route.prefix), default=None)

    @cached_property
    def ranks(self) -> RankTable:
        """Ranks of requests by the priorities of organisation and route."""
        organisations = (self.organisations or {}).values()
        return RankTable.of(
            (organisation.priority for organisation in organisations),
            (route.priority for route in self.routes),
        )

    @cached_property
    def _by_host(self) -> dict[str, list[ServedRoute]]:
        found = defaultdict(list)
        for route in self.routes:
            found[route.host].append(route)
        return dict(found)
