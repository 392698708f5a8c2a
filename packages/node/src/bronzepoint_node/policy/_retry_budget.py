"""Which tries may be repeated, and how many in all."""

from msgspec import Struct

from bronzepoint_schema.generated.decisions import RetryReason
from bronzepoint_schema.ids import EntryName, RegionName

_MOST = 20.0
"""Retries that may be saved up, so that a quiet hour buys no storm."""
_FIRST = 5.0
_NOT_RUN = frozenset(
    {
        RetryReason.connect_failed,
        RetryReason.target_overloaded,
        RetryReason.target_leaving,
        RetryReason.region_refused,
        RetryReason.stale_connection,
    }
)
"""Reasons that say for certain that the request did not run."""


_FREE = _NOT_RUN - {RetryReason.target_overloaded}
"""Reasons whose failed try cost a target nothing; each request has few tries."""


class _Bucket(Struct):
    tokens: float = _FIRST


def safe_to_retry(reason: RetryReason, idempotent: bool) -> bool:
    """Return whether a request can't run twice by being tried again."""
    return idempotent or reason in _NOT_RUN


class RetryBudget:
    """Lets retries be no more than a share of the requests that were answered.

    A region that fails answers little, so its retries soon end. Without a budget each
    request would be tried at several targets, and the region would get a multiple of
    its load just when it can carry less.

    Args:
        share: Retries allowed for each answered request.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._buckets: dict[tuple[EntryName, RegionName], _Bucket] = {}

    def answered(self, entry: EntryName, region: RegionName) -> None:
        """Note an answered request."""
        bucket = self._bucket(entry, region)
        bucket.tokens = min(_MOST, bucket.tokens + self._share)

    def take(self, entry: EntryName, region: RegionName, reason: RetryReason) -> bool:
        """Take one retry out of the budget; False where it is used up."""
        if reason in _FREE:
            return True
        bucket = self._bucket(entry, region)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _bucket(self, entry: EntryName, region: RegionName) -> _Bucket:
        return self._buckets.setdefault((entry, region), _Bucket())


__all__ = ["RetryBudget", "safe_to_retry"]
