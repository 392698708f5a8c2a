"""Rate limit for requests to cold targets, across all hosts of a region."""

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName

RATE_SHARE = 0.7
"""Fraction of a target's rate that is used. While hosts have different lists of live
hosts, two of them may send to the same target."""


class ColdStartLimiter:
    """Lets a single host of a region send to a cold target, at a limited rate.

    A cold target crashes when it gets more requests a second than it can handle, from
    whichever hosts. Dividing its rate among a changing set of hosts would take
    messages; giving the whole rate to one host, selected by rendezvous hash, takes
    none. While hosts disagree on which hosts are live, two of them may send; the rules
    of the platform tolerate twice the rate.

    Attributes:
        host: This host.
    """

    def __init__(self, host: HostName) -> None:
        self.host = host
        self._last_sent: dict[str, float] = {}

    def is_owner(self, target: str, hosts: list[HostName]) -> bool:
        """Return whether this host is the one that may send to a cold target."""
        return bool(hosts) and rendezvous_order(target, hosts)[0] == self.host

    def may_send(
        self, target: str, rate: float, hosts: list[HostName], now: float
    ) -> bool:
        """Return whether a request may be sent to a cold target now."""
        if rate <= 0 or not self.is_owner(target, hosts):
            return False
        return now - self._last_sent.get(target, float("-inf")) >= 1 / (
            RATE_SHARE * rate
        )

    def note_sent(self, target: str, now: float) -> None:
        """Record a request that is sent to a cold target."""
        self._last_sent[target] = now
        if len(self._last_sent) > 1000:
            self._last_sent = {
                t: at for t, at in self._last_sent.items() if now - at < 60
            }
