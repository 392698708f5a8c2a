"""Asks of entry hosts that concern leases between regions, without any I/O."""

from collections.abc import Callable

from bronzepoint_common.metrics import Metrics
from bronzepoint_schema.generated.scheduling import NoTarget, TargetAsk, TargetGrant

from ._region_leases import NO_OWN_QUEUE, UNLEASED, RegionLeases


class LeasedAsks:
    """Admits requests of other regions by their leases, and hands out leases.

    Args:
        leases: The leases of this region.
        cost: Returns the target seconds that the mean request of a service takes.
        metrics: Counters.
    """

    def __init__(
        self, leases: RegionLeases, cost: Callable[[str], float], metrics: Metrics
    ) -> None:
        self._leases = leases
        self._cost = cost
        self._metrics = metrics

    def may_wait(self, ask: TargetAsk, now: float) -> bool:
        """Return whether an ask may be queued, and count the arrival of a request.

        A request of another region may be queued only under a lease: without one it is
        refused, so that it waits in its own region, if it can.
        """
        if ask.lease not in (0, NO_OWN_QUEUE):
            return self._leases.admits(ask.lease, now)
        if not ask.wait_ms:
            self._leases.note_arrival(ask.service, now)
        return True

    def complete(
        self, ask: TargetAsk, answer: TargetGrant | NoTarget, now: float
    ) -> None:
        """Charge a lease for a request that got a target, or add a lease to the answer.

        Args:
            ask: The ask.
            answer: Its answer.
            now: Monotonic seconds.
        """
        cost = self._cost(ask.service)
        match answer:
            case TargetGrant() if ask.lease == UNLEASED:
                self._leases.lender.note_unleased(ask.service, cost, now)
            case TargetGrant() if ask.lease > 0:
                self._metrics.incr("lease.admitted")
                self._leases.lender.charge(ask.lease, cost, now)
            case NoTarget() if ask.lease:
                kind = "lease" if ask.lease > 0 else "unleased"
                self._metrics.incr(f"{kind}.not_admitted")
            case NoTarget() if self._leases.lender.lent(ask.service, now):
                answer.lends = True
            case NoTarget() if ask.lease_regions:
                left, tokens = ask.left_ms / 1000, max(0, ask.tokens)
                lease = self._leases.borrower.assign(
                    ask.service, ask.lease_regions, left, tokens, cost, now
                )
                if lease is not None:
                    self._metrics.incr("lease.assigned")
                    answer.lease_region, answer.lease = lease
