"""All quotas on one entry host; uses neither sockets nor the clock."""

import random
from dataclasses import dataclass

from bronzepoint_node.fleet import Organisation
from bronzepoint_schema.generated.quota import HostUse, QuotaReply, QuotaReport
from bronzepoint_schema.ids import OrganisationName, RegionName

from ._host_quota import HostQuota

IDLE_INTERVAL = 1.0
"""Seconds between two reports while there is nothing to report: the replies name the
organisations that are near their quota."""
NO_COUNTER_AFTER = 2.0
"""Seconds without a reply after which this host limits requests to its own share of the
quotas."""
RETENTION = 30.0
"""Seconds for which the state of an organisation without requests is kept."""
MIN_RETRY_AFTER = 0.25
"""Minimum seconds after which a refused caller should retry."""
MAX_RETRY_AFTER = 5.0
"""Maximum seconds after which a refused caller should retry."""
RETRY_SPREAD = (1.0, 1.6)
"""Range of the random factor on the retry delay, so that callers refused at the same
moment don't retry together."""


@dataclass(frozen=True)
class Charge:
    """Units that a request was charged to its organisation's quota."""

    organisation: OrganisationName
    cost: int


@dataclass(frozen=True)
class OverQuota:
    """Refusal of a request that exceeds its organisation's quota.

    Attributes:
        retry_after: Seconds until the quota may allow the request.
        note: State of the quota at the decision, for the log.
    """

    retry_after: float
    note: str


class HostQuotas:
    """Admits requests by a counter's latest reply, and collects use to report.

    Args:
        region: Region of this host.
        rng: Source of random numbers.
        now: Monotonic seconds.

    Attributes:
        without_counter: True while no counter replies.
    """

    def __init__(self, region: RegionName, rng: random.Random, now: float) -> None:
        self._region = region
        self._rng = rng
        self._started = rng.getrandbits(40)
        self._number = 0
        self._organisations: dict[OrganisationName, HostQuota] = {}
        self._last_used_at: dict[OrganisationName, float] = {}
        self._unanswered: list[HostUse] = []
        self._last_contact_at = now
        self._reported_at = float("-inf")
        self.without_counter = False

    def __len__(self) -> int:
        return len(self._organisations)

    def take(
        self,
        organisation: Organisation | None,
        tokens: int | None,
        hosts: int,
        now: float,
    ) -> Charge | OverQuota | None:
        """Charge a request to its organisation; None: no quota applies.

        Args:
            organisation: Organisation of the caller; None: unknown caller.
            tokens: Maximum tokens of the request; None: not specified.
            hosts: Number of live entry hosts.
            now: Monotonic seconds.
        """
        quota = organisation.quota if organisation is not None else None
        if quota is None:
            return None
        name, cost = organisation.name, quota.cost(tokens)
        host_quota = self._get_or_create(name, now)
        self.without_counter = now - self._last_contact_at > NO_COUNTER_AFTER
        if self.without_counter:
            admitted = host_quota.admit_without_counter(quota, cost, hosts, now)
        else:
            admitted = host_quota.admit(cost)
        if admitted:
            host_quota.charge(cost, now)
            return Charge(name, cost)
        standing = host_quota.standing
        debt = max(0, -standing.level) if standing is not None else 0
        wait = (debt + cost) / quota.rate * self._rng.uniform(*RETRY_SPREAD)
        note = f"{standing}, {now - self._last_contact_at:.2f} s old, costs {cost}"
        return OverQuota(min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait)), note)

    def refund(self, charge: Charge, now: float) -> None:
        """Refund the charge of a request that certainly did not run."""
        host_quota = self._organisations.get(charge.organisation)
        if host_quota is not None:
            host_quota.charge(-charge.cost, now)

    def report(self, now: float) -> QuotaReport | None:
        """Return the next report to a counter; None: none is due.

        A report without a reply is repeated, under the same number, before any other.
        """
        if not self._unanswered:
            uses = self._collect_unreported()
            if not uses and now - self._reported_at < IDLE_INTERVAL:
                return None
            self._number += 1
            self._unanswered = uses
        self._reported_at = now
        return QuotaReport(self._region, self._started, self._number, self._unanswered)

    def apply_reply(self, reply: QuotaReply, sent_at: float) -> None:
        """Apply a counter's reply to the last report.

        Args:
            reply: The reply.
            sent_at: When the report was sent, in monotonic seconds.
        """
        self._unanswered = []
        self._last_contact_at = sent_at
        self.without_counter = False
        standings = {standing.organisation: standing for standing in reply.standings}
        for name in standings.keys() - self._organisations.keys():
            self._get_or_create(name, sent_at)
        for name, host_quota in list(self._organisations.items()):
            host_quota.apply_standing(standings.get(name))
            if sent_at - self._last_used_at[name] > RETENTION and name not in standings:
                del self._organisations[name], self._last_used_at[name]

    def _get_or_create(self, name: OrganisationName, now: float) -> HostQuota:
        host_quota = self._organisations.get(name)
        if host_quota is None:
            host_quota = self._organisations[name] = HostQuota(name, self._rng)
        self._last_used_at[name] = now
        return host_quota

    def _collect_unreported(self) -> list[HostUse]:
        unreported = []
        for name, host_quota in self._organisations.items():
            if host_quota.unreported.offered or host_quota.unreported.charged:
                if host_quota.standing is not None:
                    host_quota.unreported.level = host_quota.standing.level
                unreported.append(host_quota.unreported)
                host_quota.unreported = HostUse(name, 0, 0)
        return unreported
