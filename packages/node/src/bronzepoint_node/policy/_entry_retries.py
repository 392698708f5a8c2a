"""Which failed tries may be repeated, and the budget for them."""

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy._limits import RegionHosts
from bronzepoint_node.retries import RetryBudget
from bronzepoint_schema.generated.decisions import RetryReason
from bronzepoint_schema.ids import EntryName, RegionName

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


def safe_to_retry(reason: RetryReason, idempotent: bool) -> bool:
    """Return whether a retry is safe: it can't run a non-idempotent request twice."""
    return idempotent or reason in _NOT_RUN


class EntryRetries:
    """Limits retries to a share of the answered requests, by entry and region.

    A failing region answers few requests, so its retries soon end. Without a budget
    each request would be tried at several targets, and the region would get a multiple
    of its load while its capacity is reduced.

    The slack is for all hosts together, so that neither many hosts nor processes that
    are killed in series multiply the load either.

    Args:
        share: Retries allowed for each answered request.
        slack: Additional retries allowed in each window, for all hosts together.
        started_at: Start of this process, in monotonic seconds.
        metrics: Counters of retries made and denied.
    """

    def __init__(
        self, share: float, slack: float, started_at: float, metrics: Metrics
    ) -> None:
        self._budget = RetryBudget(share, slack, 1, started_at, metrics)

    def record_answered(self, entry: EntryName, region: RegionName, now: float) -> None:
        """Record an answered request."""
        self._budget.note_request(_account(entry, region), now)

    def take(
        self,
        entry: EntryName,
        region: RegionName,
        reason: RetryReason,
        hosts: RegionHosts,
        now: float,
    ) -> bool:
        """Take one retry from the budget; return False where it is used up.

        Args:
            entry: Entry that the request asks for.
            region: Region in which its try failed.
            reason: Why it failed.
            hosts: Hosts of this region, among which the slack is divided.
            now: Monotonic seconds.
        """
        if reason in _NOT_COUNTED:
            return True
        # The other regions may have any number of hosts, but divide an equal part.
        self._budget.note_hosts(len(hosts.known) * hosts.regions)
        return self._budget.take(_account(entry, region), [], now)


def _account(entry: EntryName, region: RegionName) -> str:
    return f"{entry} in {region}"


__all__ = ["EntryRetries", "safe_to_retry"]
