"""The host that divides a limit between the hosts of its region."""

import math

from msgspec import Struct, field

from bronzepoint_node.policy._fair_shares import max_min_shares
from bronzepoint_schema.generated.catalogue import Limits
from bronzepoint_schema.generated.limits import LimitDemand, Quota
from bronzepoint_schema.ids import HostName

_SPARE = 0.8
"""Part of what nobody asked for that is granted as headroom; the rest is kept for
hosts that begin to ask."""


class _Share(Struct):
    demand: Quota
    granted: Quota
    in_use: int
    until: float


class HeldLimit(Struct):
    """One limit, as its holder divides it.

    At any time the grants that have not ended sum up to no more than the limit. A
    grant shrinks only with its host's next report, and until then its old size counts
    against the others: a holder that divided by the newest demands alone would have
    granted the same part twice in between.

    Attributes:
        shares: by host.
    """

    shares: dict[HostName, _Share] = field(default_factory=dict)

    def grant(
        self,
        host: HostName,
        demand: LimitDemand,
        limits: Limits,
        silent: int,
        known: int,
        settled: bool,
        lifetime: float,
        now: float,
    ) -> Quota:
        """Take in one host's demand and return its grant.

        Args:
            host: Who reports.
            demand: What it wants, holds and has in use.
            limits: The limit's present values.
            silent: Known hosts that can't be reached now: each may be on the other
                side of a partition and work by its equal part.
            known: Known hosts of the region.
            settled: False for one lifetime after the hosts have changed. Another
                holder's grants may still be in use then, and each host gets only
                what it already holds, or its equal part.
            lifetime: Seconds that the grant holds.
            now: Monotonic seconds.
        """
        self.shares = {
            name: share
            for name, share in self.shares.items()
            if share.until > now or name == host
        }
        reserved = silent / max(1, known)
        own = self.shares.get(host)
        quota = Quota(
            rate=self._part(host, demand, "rate", limits.rate, reserved, settled),
            tokens=self._part(host, demand, "tokens", limits.tokens, reserved, settled),
            slots=self._slots(host, demand, limits.in_progress, reserved, settled),
        )
        if not settled:
            quota = self._first_quota(quota, demand, limits, known)
        if own is None:
            own = self.shares[host] = _Share(demand.wanted, quota, 0, 0.0)
        own.demand, own.granted = demand.wanted, quota
        own.in_use, own.until = demand.in_use, now + lifetime
        return quota

    def _part(
        self,
        host: HostName,
        demand: LimitDemand,
        bound: str,
        limit: float,
        reserved: float,
        settled: bool,
    ) -> float:
        if limit <= 0:
            return 0.0
        amount = limit * (1 - reserved)
        demands = {name: getattr(s.demand, bound) for name, s in self.shares.items()}
        demands[host] = getattr(demand.wanted, bound)
        share, spare = fair_share(amount, demands, host)
        fair = share + spare
        if not settled:
            return fair
        others = sum(
            getattr(share.granted, bound)
            for name, share in self.shares.items()
            if name != host
        )
        return max(0.0, min(fair, amount - others))

    def _slots(
        self,
        host: HostName,
        demand: LimitDemand,
        limit: int,
        reserved: float,
        settled: bool,
    ) -> int:
        if limit <= 0:
            return 0
        amount = math.floor(limit * (1 - reserved))
        demands = {
            name: float(max(share.demand.slots, share.in_use))
            for name, share in self.shares.items()
        }
        demands[host] = float(max(demand.wanted.slots, demand.in_use))
        share, spare = fair_share(amount, demands, host)
        others = sum(
            max(share.granted.slots, share.in_use)
            for name, share in self.shares.items()
            if name != host
        )
        free = amount - others if settled else amount
        # The fraction is rounded up where there is room: with more hosts than slots
        # every equal part is below one, and rounded down nobody could start.
        return max(0, min(math.ceil(share) + math.floor(spare), free))

    def _first_quota(
        self, quota: Quota, demand: LimitDemand, limits: Limits, known: int
    ) -> Quota:
        equal = 1 / max(1, known)
        held = demand.held
        return Quota(
            rate=min(quota.rate, max(held.rate, limits.rate * equal)),
            tokens=min(quota.tokens, max(held.tokens, limits.tokens * equal)),
            slots=min(quota.slots, max(held.slots, limits.in_progress // known)),
        )


def fair_share(
    amount: float, demands: dict[HostName, float], host: HostName
) -> tuple[float, float]:
    """Return one host's fair share, and its part of what nobody asked for."""
    shares = max_min_shares(amount, demands)
    spare = max(0.0, amount - sum(shares.values()))
    return shares[host], _SPARE * spare / len(demands)


__all__ = ["HeldLimit"]
