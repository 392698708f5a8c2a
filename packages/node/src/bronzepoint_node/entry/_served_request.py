"""One request on its way through this host."""

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
    """One request on its way through this host.

    Attributes:
        entry: The entry, as the view had it when the request came in.
        view: What the policy sees of the request.
        deadline: Seconds after arrival until the first byte is worth nothing.
        context: What the forwarding host said; None: it came from its caller.
    """

    exchange: Exchange
    call: Call
    caller: Caller
    entry: ModelEntry | ServiceEntry
    view: RequestView
    trace: RequestTrace
    deadline: float
    context: ForwardContext | None = None

    def deadline_left(self) -> float:
        """Return the seconds left until the first byte is worth nothing."""
        return self.deadline - self.trace.elapsed()

    def visited(self) -> list[VisitedHost]:
        """Return the hosts that have handled the request, this one last."""
        before = self.context.visited if self.context is not None else []
        record = self.trace.record
        return [*before, VisitedHost(record.host, record.region)]

    def allowed_by(self, entry: ModelEntry | ServiceEntry) -> Regions:
        """Return the regions that may serve it by an entry as it is now.

        What the forwarding host allowed bounds it too: while a change spreads, either
        host may have the older view, and neither may widen what the other's forbids.
        """
        allowed = allowed_regions(entry, self.caller.home, self.call.bound_home)
        if self.context is None:
            return allowed
        return intersect(allowed, self.context.allowed)
