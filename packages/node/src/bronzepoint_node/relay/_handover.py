"""Finds a replacement for a run before the run is left."""

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import ConnectFailed, HttpClient
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.forwarded_runs import ForwardedRuns
from bronzepoint_node.placement import LocalPlacement, RemotePlacement
from bronzepoint_node.quarantine import Quarantine, SuspicionLevel
from bronzepoint_node.retries import RetryBudget

from ._authenticator import Authenticator
from ._call import Call
from ._placement_search import PlacementSearch
from ._resumption import ResumptionCheck
from ._successor import Successor

MAX_IDLE = 1.0
"""Maximum seconds since the last use of a connection that still proves that its server
can be reached."""


class Handover:
    """Finds the place that takes over a request whose run may have ended.

    A run that may still bring the answer is left only for a place that can take it over
    at once: with an attempt, a retry, the required software version, free capacity and
    an open connection.

    Args:
        authenticator: Checks whether the request is still admitted.
        search: Finds places.
        resumption: Decides where a stream may go on.
        quarantine: Knows which requests may crash their targets.
        retry_budget: Limit on the rate of retries.
        forwarded_runs: Asks forwarding hosts for runs.
        client: Connections to targets.
        hosts: Connections to hosts of other regions.
        metrics: Counters.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        search: PlacementSearch,
        resumption: ResumptionCheck,
        quarantine: Quarantine,
        retry_budget: RetryBudget,
        forwarded_runs: ForwardedRuns,
        client: HttpClient,
        hosts: HttpClient,
        metrics: Metrics,
    ) -> None:
        self._authenticator = authenticator
        self._search = search
        self._resumption = resumption
        self._quarantine = quarantine
        self._retry_budget = retry_budget
        self._forwarded_runs = forwarded_runs
        self._client = client
        self._hosts = hosts
        self._metrics = metrics

    async def find(self, call: Call, *, running: bool) -> Successor | None:
        """Return a place that can take over a request; None if something is missing.

        Args:
            call: The request.
            running: Whether its latest run goes on, and counts as one more attempt.
        """
        found = await self._find(call, running)
        self._metrics.incr("handover.found" if found else "handover.none")
        return found

    async def _find(self, call: Call, running: bool) -> Successor | None:
        if not call.may_go_on or not self._may_move(call):
            return None
        lent_before = call.lent_runs
        runs = call.counted_runs + lent_before + running
        is_lent = runs >= call.max_runs
        if is_lent and call.send is None:
            return None
        if not is_lent and not self._retry_budget.has_left(call.service, monotonic()):
            return None
        if await self._resumption.check(call) is not None:
            return None
        placement = await self._search.find_free(call)
        if placement is None or not await self._is_connected(placement):
            return None
        if is_lent:
            if not await self._forwarded_runs.borrow_run(call.send):
                return None
            call.granted_runs += 1
        return Successor(placement, is_lent, lent_before)

    def claim(self, call: Call, successor: Successor) -> bool:
        """Take the retry for a place; False if the run must go on.

        The budget may be used up meanwhile, or the host that the request was forwarded
        to may have got the attempt.
        """
        if call.lent_runs != successor.lent_before:
            return False
        if not successor.is_lent:
            now = monotonic()
            if not self._retry_budget.take(call.service, call.deliveries, now):
                return False
            call.retries += 1
        call.successor = successor
        return True

    def lend_run(self, call: Call) -> bool:
        """Take an attempt and a retry for the host that a request was forwarded to."""
        if not call.may_repeat_after_this or call.time_left <= 0:
            return False
        if call.successor is not None:
            # The run there is just being left, and the attempt is taken.
            return False
        if not self._retry_budget.take(call.service, call.deliveries, monotonic()):
            return False
        call.retries += 1
        call.lent_runs += 1
        call.notes[-1] += ", one run lent"
        return True

    def _may_move(self, call: Call) -> bool:
        """Return whether a request may be moved at all.

        A request that may crash its target is never moved while it may still run there:
        it would take a second target with it.
        """
        if call.suspect or not self._authenticator.still_admits(call):
            return False
        standing = self._quarantine.standing(call.fingerprints)
        return standing is SuspicionLevel.CLEAR

    async def _is_connected(self, placement: LocalPlacement | RemotePlacement) -> bool:
        """Open the connection that the request will use."""
        try:
            match placement:
                case LocalPlacement(target=target):
                    await self._client.connect(target.info.address, MAX_IDLE)
                case RemotePlacement(address=address):
                    await self._hosts.connect(address, MAX_IDLE)
        except ConnectFailed:
            return False
        return True
