"""Which failed tries may be repeated, and the budget for them."""

from msgspec import Struct

from bronzepoint_schema.generated.decisions import RetryReason
from bronzepoint_schema.ids import EntryName, RegionName

_MAX_SAVED_RETRIES = 20.0
"""Number of retries that a budget accumulates at most. Without a bound, a long time
without failures would allow a storm of retries."""
_INITIAL_RETRIES = 5.0
"""Number of retries in a new budget."""
_NOT_RUN = frozenset(
    {
        RetryReason.connect_failed,
        RetryReason.target_overloaded,
        RetryReason.target_leaving,
        RetryReason.region_refused,
        RetryReason.stale_connection,
    }
)
"""Reasons that prove that the request did not run."""


_NOT_COUNTED = _NOT_RUN - {RetryReason.target_overloaded}
"""Reasons whose failed try put no load on a target. They need no budget, since the
number of tries of a request is bounded."""


class _Bucket(Struct):
    tokens: float = _INITIAL_RETRIES


def safe_to_retry(reason: RetryReason, idempotent: bool) -> bool:
    """Return whether a retry is safe: it can't run a non-idempotent request twice."""
    return idempotent or reason in _NOT_RUN


class RetryBudget:
    """Limits retries to a share of the answered requests, by entry and region.

    A failing region answers few requests, so its retries soon end. Without a budget
    each request would be tried at several targets, and the region would get a multiple
    of its load while its capacity is reduced.

    Args:
        share: Retries allowed for each answered request.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._buckets: dict[tuple[EntryName, RegionName], _Bucket] = {}

    def answered(self, entry: EntryName, region: RegionName) -> None:
        """Record an answered request."""
        bucket = self._bucket(entry, region)
        bucket.tokens = min(_MAX_SAVED_RETRIES, bucket.tokens + self._share)

    def take(self, entry: EntryName, region: RegionName, reason: RetryReason) -> bool:
        """Take one retry from the budget; return False where it is used up."""
        if reason in _NOT_COUNTED:
            return True
        bucket = self._bucket(entry, region)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _bucket(self, entry: EntryName, region: RegionName) -> _Bucket:
        return self._buckets.setdefault((entry, region), _Bucket())


__all__ = ["RetryBudget", "safe_to_retry"]
