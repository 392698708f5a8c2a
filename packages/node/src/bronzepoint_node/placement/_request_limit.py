"""The request rate that a target has limited itself to."""

import math
from dataclasses import dataclass

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName

RATE_SHARE = 0.75
"""Fraction of a limit that is used. Hosts that disagree on which hosts are live, or on
the scheduler, may together send twice as much; the platform tolerates that."""
MAX_SENDERS = 2
"""Maximum number of hosts that send to a limited target. After a pause each may send a
request at once, however small its share of the rate is."""
MIN_RATE = 0.2
"""Requests per second that a target gets from all senders together at the lowest limit.
Only an answer shows that the limit has ended."""


@dataclass
class RequestLimit:
    """The request rate that a target takes from all hosts together.

    The rate is divided among a few hosts, selected by rendezvous hash, so that no
    messages are needed for a request. In a region with a scheduler that is one host.

    Attributes:
        rate: Requests per second; None: not limited.
        observed_at: Time of the answer that says so, in monotonic seconds.
        sent_at: Time at which this host last sent or granted a request there.
    """

    rate: float | None = None
    observed_at: float = -math.inf
    sent_at: float = -math.inf

    def observe(self, rate: float | None, at: float) -> bool:
        """Record what an answer says; return whether the rate has changed.

        Args:
            rate: Requests per second; None: the answer names no limit.
            at: Time of the answer in monotonic seconds; older ones are ignored.
        """
        if at < self.observed_at or (rate is None and self.rate is None):
            return False
        has_changed = rate != self.rate
        self.rate, self.observed_at = rate, at
        return has_changed

    def note_sent(self, now: float) -> None:
        """Record a request that is sent to the target, or granted to another host."""
        self.sent_at = now

    def host_rate(self, target: str, host: HostName, hosts: list[HostName]) -> float:
        """Return the requests per second that a host may send; 0: none.

        Args:
            target: Name of the target.
            host: The host.
            hosts: Hosts of the region that select targets.
        """
        if self.rate is None:
            return math.inf
        senders = rendezvous_order(target, hosts)[:MAX_SENDERS]
        if host not in senders:
            return 0.0
        return max(MIN_RATE, RATE_SHARE * self.rate) / len(senders)

    def seconds_until_next(self, host_rate: float, now: float) -> float:
        """Return the seconds until a host may send a request; infinite: never.

        Args:
            host_rate: Requests per second that the host may send.
            now: Monotonic seconds.
        """
        if not host_rate:
            return math.inf
        return max(0.0, self.sent_at + 1 / host_rate - now)
