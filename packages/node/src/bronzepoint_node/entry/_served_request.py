"""A validated request that this host is serving."""

from msgspec import Struct

from bronzepoint_common.http import Exchange
from bronzepoint_common.tokens import Caller
from bronzepoint_node.entry._call import Call
from bronzepoint_node.entry._forward_context import ForwardContext, VisitedHost
from bronzepoint_node.entry._residency import Regions, allowed_regions, intersect
from bronzepoint_node.entry._trace import RequestTrace
from bronzepoint_node.policy import RequestView
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry


class ServedRequest(Struct):
    """A validated request that this host is serving.

    Attributes:
        entry: The entry in the catalogue view at the request's arrival.
        view: The properties of the request that the policy uses.
        deadline: Seconds after arrival; the first byte is of no use after that.
        context: Context of a forwarded request; None: it came from its caller.
        fresh: True: it is sent on new connections only, since a kept one was closed.
    """

    exchange: Exchange
    call: Call
    caller: Caller
    entry: ModelEntry | ServiceEntry
    view: RequestView
    trace: RequestTrace
    deadline: float
    context: ForwardContext | None = None
    fresh: bool = False

    def deadline_left(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - self.trace.elapsed()

    def visited(self) -> list[VisitedHost]:
        """Return the hosts that have handled the request, ending with this one."""
        before = self.context.visited if self.context is not None else []
        record = self.trace.record
        return [*before, VisitedHost(record.host, record.region)]

    def allowed_by(self, entry: ModelEntry | ServiceEntry) -> Regions:
        """Return the regions that may serve the request.

        The regions must also be allowed by the forwarding host. While a catalogue
        change propagates, either host may have the older view, and neither may allow
        a region that the other forbids.

        Args:
            entry: The request's entry in the current view of the catalogue.
        """
        allowed = allowed_regions(entry, self.caller.home, self.call.bound_home)
        if self.context is None:
            return allowed
        return intersect(allowed, self.context.allowed)
