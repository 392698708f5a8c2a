"""Admission of one organisation's requests on one host."""

import random

from bronzepoint_node.fleet import Quota
from bronzepoint_node.policy import TokenBucket
from bronzepoint_schema.generated.quota import HostUse, QuotaStanding
from bronzepoint_schema.ids import OrganisationName

from ._account import HORIZON
from ._rate_meter import RateMeter


class HostQuota:
    """Admits the same share of requests as every other host.

    The share depends on the demand at all hosts together, so it doesn't matter at which
    hosts an organisation's callers are, or how many hosts there are. The share applies
    to the number of requests, not to their units: large ones are as likely to be
    admitted as small ones.

    Args:
        name: The organisation.
        rng: Source of the initial admission credit, which differs between hosts.

    Attributes:
        unreported: Use that is not yet reported to the counter.
        standing: Latest standing from the counter; None: not known, or far below the
            quota.
    """

    def __init__(self, name: OrganisationName, rng: random.Random) -> None:
        self.unreported = HostUse(name, 0, 0)
        self.standing: QuotaStanding | None = None
        self._admission_credit = rng.random()
        self._used = RateMeter()
        self._local_bucket: TokenBucket | None = None

    def apply_standing(self, standing: QuotaStanding | None) -> None:
        """Apply the counter's latest standing; None: far below the quota."""
        self.standing = standing
        self._local_bucket = None

    def admit(self, cost: int) -> bool:
        """Return whether to admit a request, by the counter's latest standing."""
        self.unreported.offered += cost
        share = self._share()
        if share >= 1.0:
            return True
        self._admission_credit += share
        if self._admission_credit < 1.0:
            return False
        self._admission_credit -= 1.0
        return True

    def admit_without_counter(
        self, quota: Quota, cost: int, hosts: int, now: float
    ) -> bool:
        """Return whether to admit a request while no counter can be reached.

        Args:
            quota: Quota of the organisation.
            cost: Units of the request.
            hosts: Number of live entry hosts.
            now: Monotonic seconds.
        """
        self.unreported.offered += cost
        if self._local_bucket is None:
            rate = self._local_rate(quota, hosts, now)
            self._local_bucket = TokenBucket(rate, rate, now)
        return self._local_bucket.take(cost, now)

    def charge(self, cost: int, now: float) -> None:
        """Charge an admitted request, or refund one with a negative cost."""
        self.unreported.charged += cost
        self._used.add(cost, now)

    def _share(self) -> float:
        """Return the share of requests to admit; 1 or more: all of them."""
        standing = self.standing
        if standing is None or standing.demand <= 0:
            return 1.0
        allowed = standing.allowed - self.unreported.charged / HORIZON
        return max(0.0, allowed / standing.demand)

    def _local_rate(self, quota: Quota, hosts: int, now: float) -> float:
        """Return this host's share of the quota in units per second.

        The shares of all hosts add up to the quota.
        """
        own_rate = self._used.rate(now)
        used = max(
            own_rate, self.standing.used if self.standing is not None else own_rate
        )
        if used > quota.rate:
            own_rate *= quota.rate / used
        return own_rate + max(0.0, quota.rate - used) / max(1, hosts)
