"""State shared by the hosts of a seeded system: hosts, catalogue, targets and loads."""

from ._follower import MAX_CRASH_CASES, Follower
from ._nearest_core import nearest_core
from ._organisation import Organisation, Quota, digest_key, shown_digest
from ._registry import (
    COLLECTOR_ORDER,
    ENTRY_EXPIRY,
    LAST_RESORT,
    LOAD_EXPIRY,
    Registry,
)
from ._served import (
    CallerLimits,
    EngineFacts,
    RouteKind,
    ServedCatalogue,
    ServedRoute,
    ServedService,
    ServiceShare,
)

__all__ = [
    "COLLECTOR_ORDER",
    "ENTRY_EXPIRY",
    "LAST_RESORT",
    "LOAD_EXPIRY",
    "MAX_CRASH_CASES",
    "CallerLimits",
    "EngineFacts",
    "Follower",
    "Organisation",
    "Quota",
    "Registry",
    "RouteKind",
    "ServedCatalogue",
    "ServedRoute",
    "ServedService",
    "ServiceShare",
    "digest_key",
    "nearest_core",
    "shown_digest",
]
