"""State of one limit on one host between two grants."""

import math

from msgspec import Struct

from bronzepoint_node.policy._token_bucket import BURST, TokenBucket
from bronzepoint_schema.generated.catalogue import Limits
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.generated.limits import LimitDemand, LimitScope, Quota

_DEMAND_DECAY_SECONDS = 1.0
"""Time after which a request counts for about a third (1/e) in the demand."""


class LimitKey(Struct, frozen=True):
    """Identifies one limit."""

    scope: LimitScope
    name: str

    def text(self) -> str:
        """Return the key as one string, for hashing."""
        return f"{self.scope}:{self.name}"


class LocalLimit(Struct):
    """A host's share of one limit, and its demand.

    Attributes:
        quota: share that this host may use.
        requests: token bucket of the request rate.
        tokens: token bucket of the token rate.
        until: monotonic seconds at which the quota expires; 0: there was none yet.
        granted: True for a grant of the holder, False for the equal share.
        in_use: requests in progress that count against it.
        asked: exponentially decayed count of requests, refused ones included.
        asked_tokens: the same, in tokens.
        denied: decayed count of requests refused because no slot was left.
        decayed: monotonic seconds up to which the decay has been applied.
        used: monotonic seconds of the last request.
    """

    key: LimitKey
    quota: Quota
    requests: TokenBucket
    tokens: TokenBucket
    until: float = 0.0
    granted: bool = False
    in_use: int = 0
    asked: float = 0.0
    asked_tokens: float = 0.0
    denied: float = 0.0
    decayed: float = 0.0
    used: float = 0.0

    def record_demand(self, tokens: float, now: float) -> None:
        """Count one request as demand, whether or not it is then admitted."""
        self._decay_demand(now)
        self.asked += 1
        self.asked_tokens += tokens
        self.used = now

    def try_take(self, limits: Limits, tokens: float, now: float) -> RefusalKind | None:
        """Charge one request; where a bound refuses it, return the reason instead."""
        if limits.in_progress > 0 and self.in_use >= self.quota.slots:
            self.denied = min(self.denied + 1, limits.in_progress)
            return RefusalKind.in_progress_limited
        if limits.rate > 0 and not self.requests.take(1, now):
            return RefusalKind.rate_limited
        if limits.tokens > 0 and not self.tokens.take(tokens, now):
            if limits.rate > 0:
                self.requests.refund(1, now)
            return RefusalKind.tokens_limited
        self.in_use += 1
        return None

    def undo_take(self, tokens: float, now: float) -> None:
        """Undo the charge of a request that another limit refused."""
        self.in_use -= 1
        self.requests.refund(1, now)
        self.tokens.refund(tokens, now)

    def end_request(self, unused_tokens: float, now: float) -> None:
        """Count the end of a request, and correct its token estimate."""
        self.in_use -= 1
        self.tokens.refund(unused_tokens, now)

    def apply_quota(
        self, quota: Quota, until: float, granted: bool, now: float
    ) -> None:
        """Replace the quota by another grant, or by the equal share."""
        if self.until == 0.0:
            # A bucket starts full, or the first caller after a pause would be refused.
            self.requests = TokenBucket(quota.rate, max(1.0, quota.rate * BURST), now)
            self.tokens = TokenBucket(quota.tokens, max(1.0, quota.tokens * BURST), now)
        self.quota = quota
        self.until = until
        self.granted = granted
        self.requests.set_rate(quota.rate, now)
        self.tokens.set_rate(quota.tokens, now)

    def has_demand_above(self, limits: Limits, fraction: float, now: float) -> bool:
        """Return whether the demand is above a fraction of any bound."""
        self._decay_demand(now)
        return (
            (limits.rate > 0 and self.asked > fraction * limits.rate)
            or (limits.tokens > 0 and self.asked_tokens > fraction * limits.tokens)
            or (limits.in_progress > 0 and self.in_use > fraction * limits.in_progress)
            or self.denied > 0.2
        )

    def demand(self, now: float) -> LimitDemand:
        """Return the demand to report to the holder."""
        self._decay_demand(now)
        wanted = Quota(
            rate=round(self.asked / _DEMAND_DECAY_SECONDS, 2),
            slots=self.in_use + math.ceil(self.denied - 0.2),
            tokens=round(self.asked_tokens / _DEMAND_DECAY_SECONDS, 1),
        )
        held = self.quota if self.granted and now < self.until else Quota()
        return LimitDemand(self.key.scope, self.key.name, wanted, held, self.in_use)

    def _decay_demand(self, now: float) -> None:
        kept = math.exp((self.decayed - now) / _DEMAND_DECAY_SECONDS)
        self.asked *= kept
        self.asked_tokens *= kept
        self.denied *= kept
        self.decayed = now


__all__ = ["LimitKey", "LocalLimit"]
