"""State shared by the hosts of a seeded system: hosts, catalogue, targets and loads."""

from ._core_search import CoreSearch
from ._nearest_core import nearest_core
from ._organisation import Organisation, Quota, digest_key, shown_digest
from ._rank_table import LATE_RANKS, MAX_RANK, RankTable
from ._registry import (
    COLLECTOR_ORDER,
    CORE_EXPIRY,
    ENTRY_EXPIRY,
    LOAD_EXPIRY,
    MAX_REPORT_AGE,
    Registry,
)
from ._served import (
    CallerLimits,
    EngineProperties,
    RouteKind,
    ServedCatalogue,
    ServedRoute,
    ServedService,
    ServiceShare,
)
from ._service_versions import VERSION_RETENTION, ServiceVersions
from ._sync_client import MAX_CRASH_CASES, SyncClient

__all__ = [
    "COLLECTOR_ORDER",
    "CORE_EXPIRY",
    "ENTRY_EXPIRY",
    "MAX_REPORT_AGE",
    "LATE_RANKS",
    "LOAD_EXPIRY",
    "MAX_RANK",
    "MAX_CRASH_CASES",
    "CallerLimits",
    "CoreSearch",
    "EngineProperties",
    "SyncClient",
    "Organisation",
    "Quota",
    "RankTable",
    "Registry",
    "RouteKind",
    "ServedCatalogue",
    "ServedRoute",
    "ServedService",
    "ServiceShare",
    "ServiceVersions",
    "VERSION_RETENTION",
    "digest_key",
    "nearest_core",
    "shown_digest",
]
