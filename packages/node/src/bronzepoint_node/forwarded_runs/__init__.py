"""What the hosts at both ends of a forwarded request tell each other about it."""

from ._forwarded_runs import ForwardedRuns, Forwarding
from ._forwarded_send import ForwardedSend

__all__ = ["ForwardedRuns", "ForwardedSend", "Forwarding"]
