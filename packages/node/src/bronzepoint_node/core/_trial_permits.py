"""System-wide permits for trials of doubtful requests."""

from typing import NamedTuple

from bronzepoint_node.quarantine import (
    PART_TRIAL_INTERVAL,
    RETENTION,
    is_combination,
    is_part,
)
from bronzepoint_schema.ids import Fingerprint, HostName


class PermitQuery(NamedTuple):
    """Query that a permit is granted to.

    Attributes:
        host: The entry host that sent it.
        number: Its number on that host.
    """

    host: HostName
    number: int


NO_QUERY = PermitQuery(HostName(""), 0)


class _Grant(NamedTuple):
    at: float
    query: PermitQuery
    repeated: bool


def _validity(fingerprint: Fingerprint) -> float:
    """Return the seconds after a permit in which no other one is granted."""
    is_own = not (is_part(fingerprint) or is_combination(fingerprint))
    return RETENTION if is_own else PART_TRIAL_INTERVAL


class TrialPermits:
    """Grants one permit per request, and another one if it is returned unused, or if
    its trial was disturbed.

    Entry hosts can't limit trials on their own, as a caller may use any of them. All of
    them ask the same core host about one request. If they choose different core hosts,
    such as during a network partition, each of these grants one permit.
    """

    def __init__(self) -> None:
        self._grants: dict[Fingerprint, _Grant] = {}

    def grant(
        self,
        fingerprint: Fingerprint,
        now: float,
        query: PermitQuery = NO_QUERY,
        repeated: bool = False,
    ) -> bool:
        """Grant a permit; return False if one was granted before.

        Args:
            fingerprint: Fingerprint of the request or part.
            now: Monotonic seconds.
            query: Query that asks for it.
            repeated: The trial of the former permit was disturbed.
        """
        self._expire(now)
        grant = self._grants.get(fingerprint)
        if grant is not None and (grant.repeated or not repeated):
            return False
        self._grants[fingerprint] = _Grant(now, query, repeated)
        return True

    def take_back(self, fingerprint: Fingerprint, query: PermitQuery) -> bool:
        """Take back a permit that wasn't used; return whether it was outstanding.

        A return may arrive late or twice, when another query has the permit.
        """
        grant = self._grants.get(fingerprint)
        if grant is None or grant.query != query:
            return False
        del self._grants[fingerprint]
        return True

    def seconds_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until a new permit may be granted."""
        grant = self._grants.get(fingerprint)
        if grant is None:
            return 0.0
        return max(0.0, grant.at + _validity(fingerprint) - now)

    def reset(self, fingerprint: Fingerprint) -> None:
        """Reset the permit of a request that was cleared."""
        self._grants.pop(fingerprint, None)

    def _expire(self, now: float) -> None:
        for fingerprint, grant in list(self._grants.items()):
            if now - grant.at > _validity(fingerprint):
                del self._grants[fingerprint]
