"""A place that can take over a request from a run that may have ended."""

from dataclasses import dataclass

from bronzepoint_node.placement import LocalPlacement, RemotePlacement


@dataclass(frozen=True)
class Successor:
    """A place that can take over a request.

    Attributes:
        placement: The place.
        is_lent: Whether the forwarding host has lent the run and paid for the retry.
        lent_before: Runs that this host had lent when the place was looked for.
    """

    placement: LocalPlacement | RemotePlacement
    is_lent: bool = False
    lent_before: int = 0
