"""How many requests cold targets get, over all hosts together."""

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName

SHARE = 0.7
"""Part of the rate that is used: a list of hosts that is a little behind makes two
owners for a moment."""


class ColdGate:
    """Lets one host of a region alone send to a cold target, a few a second.

    A cold target crashes under more requests than it stands, whoever sent them. To
    divide its rate among hosts that come and go takes messages; that one of them, by
    rendezvous hash, has all of it takes none. While hosts differ on who lives, two
    may send: the rules of the platform leave room for twice the rate.

    Args:
        host: This host.
    """

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._sent: dict[str, float] = {}

    def is_owner(self, target: str, hosts: list[HostName]) -> bool:
        """Tell whether this host is the one that may send to a cold target."""
        return bool(hosts) and rendezvous_order(target, hosts)[0] == self._host

    def may_send(
        self, target: str, rate: float, hosts: list[HostName], now: float
    ) -> bool:
        """Tell whether one request may go to a cold target now."""
        if rate <= 0 or not self.is_owner(target, hosts):
            return False
        return now - self._sent.get(target, float("-inf")) >= 1 / (SHARE * rate)

    def note_sent(self, target: str, now: float) -> None:
        """Count a request that goes to a cold target."""
        self._sent[target] = now
        if len(self._sent) > 1000:
            self._sent = {t: at for t, at in self._sent.items() if now - at < 60}
