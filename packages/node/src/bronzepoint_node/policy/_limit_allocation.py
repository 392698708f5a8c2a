"""Allocation of one limit to the hosts of a region, as done by its holder."""

import math

from msgspec import Struct, field

from bronzepoint_node.policy._fair_shares import max_min_shares
from bronzepoint_schema.generated.catalogue import Limits
from bronzepoint_schema.generated.limits import LimitDemand, Quota
from bronzepoint_schema.ids import HostName

_SPARE_GRANT_SHARE = 0.8
"""Share of the unrequested part of a limit that is granted as headroom. The rest is
reserved for hosts that start to report demand."""


class _HostAllocation(Struct):
    demand: Quota
    granted: Quota
    in_use: int
    until: float


class LimitAllocation(Struct):
    """Grants of one limit, kept by its holder.

    At any time the unexpired grants sum up to no more than the limit. A grant shrinks
    only with its host's next report, and until then its old size counts against the
    other hosts. A holder that divided by the newest demands alone would grant the same
    share twice in between.

    Attributes:
        allocations: demand and grant of each host.
    """

    allocations: dict[HostName, _HostAllocation] = field(default_factory=dict)

    def grant(
        self,
        host: HostName,
        demand: LimitDemand,
        limits: Limits,
        unreachable: int,
        known: int,
        stable: bool,
        lifetime: float,
        now: float,
    ) -> Quota:
        """Record one host's demand and return its grant.

        Args:
            host: The reporting host.
            demand: What it wants, holds and has in use.
            limits: Current values of the limit.
            unreachable: Number of known hosts that can't be reached now. Each may be
                on the other side of a network partition and use its equal share.
            known: Number of known hosts of the region.
            stable: False for one lifetime after the live hosts have changed. Grants
                of another holder may still be in use then, so each host gets only
                what it already holds, or its equal share.
            lifetime: Seconds for which the grant is valid.
            now: Monotonic seconds.
        """
        self.allocations = {
            name: allocation
            for name, allocation in self.allocations.items()
            if allocation.until > now or name == host
        }
        reserved = unreachable / max(1, known)
        own = self.allocations.get(host)
        quota = Quota(
            rate=self._divide_amount(
                host, demand, "rate", limits.rate, reserved, stable
            ),
            tokens=self._divide_amount(
                host, demand, "tokens", limits.tokens, reserved, stable
            ),
            slots=self._divide_slots(
                host, demand, limits.in_progress, reserved, stable
            ),
        )
        if not stable:
            quota = self._transition_quota(quota, demand, limits, known)
        if own is None:
            own = self.allocations[host] = _HostAllocation(demand.wanted, quota, 0, 0.0)
        own.demand, own.granted = demand.wanted, quota
        own.in_use, own.until = demand.in_use, now + lifetime
        return quota

    def _divide_amount(
        self,
        host: HostName,
        demand: LimitDemand,
        bound: str,
        limit: float,
        reserved: float,
        stable: bool,
    ) -> float:
        if limit <= 0:
            return 0.0
        amount = limit * (1 - reserved)
        demands = {
            name: getattr(allocation.demand, bound)
            for name, allocation in self.allocations.items()
        }
        demands[host] = getattr(demand.wanted, bound)
        share, spare = fair_share(amount, demands, host)
        fair = share + spare
        if not stable:
            return fair
        others = sum(
            getattr(allocation.granted, bound)
            for name, allocation in self.allocations.items()
            if name != host
        )
        return max(0.0, min(fair, amount - others))

    def _divide_slots(
        self,
        host: HostName,
        demand: LimitDemand,
        limit: int,
        reserved: float,
        stable: bool,
    ) -> int:
        if limit <= 0:
            return 0
        amount = math.floor(limit * (1 - reserved))
        demands = {
            name: float(max(allocation.demand.slots, allocation.in_use))
            for name, allocation in self.allocations.items()
        }
        demands[host] = float(max(demand.wanted.slots, demand.in_use))
        share, spare = fair_share(amount, demands, host)
        others = sum(
            max(allocation.granted.slots, allocation.in_use)
            for name, allocation in self.allocations.items()
            if name != host
        )
        free = amount - others if stable else amount
        # The share is rounded up where slots are free: with more hosts than slots
        # every equal share is below one, and rounding down would admit no request.
        return max(0, min(math.ceil(share) + math.floor(spare), free))

    def _transition_quota(
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
    """Return one host's max-min fair share, and its part of the unrequested rest."""
    shares = max_min_shares(amount, demands)
    spare = max(0.0, amount - sum(shares.values()))
    return shares[host], _SPARE_GRANT_SHARE * spare / len(demands)


__all__ = ["LimitAllocation"]
