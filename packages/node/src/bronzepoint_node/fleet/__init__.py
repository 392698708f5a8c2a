"""What the hosts of a seeded system know of each other, of targets and of loads."""

from ._core_hub import CoreHub
from ._follower import Follower
from ._registry import ENTRY_EXPIRY, LAST_RESORT, LOAD_EXPIRY, Registry
from ._served import (
    CallerLimits,
    EngineFacts,
    RouteKind,
    ServedCatalogue,
    ServedRoute,
    ServedService,
    ServiceShare,
)
from ._target_reader import ListUnavailable, TargetReader

__all__ = [
    "ENTRY_EXPIRY",
    "LAST_RESORT",
    "LOAD_EXPIRY",
    "CallerLimits",
    "CoreHub",
    "EngineFacts",
    "Follower",
    "ListUnavailable",
    "Registry",
    "RouteKind",
    "ServedCatalogue",
    "ServedRoute",
    "ServedService",
    "ServiceShare",
    "TargetReader",
]
