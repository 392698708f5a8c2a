"""One limit, as a host keeps it between two grants."""

import math

from msgspec import Struct

from bronzepoint_node.policy._token_bucket import BURST, TokenBucket
from bronzepoint_schema.generated.catalogue import Limits
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.generated.limits import LimitDemand, LimitScope, Quota

_DEMAND_MEMORY = 1.0
"""Seconds after which an asking counts for a third in the demand."""


class LimitKey(Struct, frozen=True):
    """Names one limit."""

    scope: LimitScope
    name: str

    def text(self) -> str:
        """Return the key as one string, for hashing."""
        return f"{self.scope}:{self.name}"


class LocalLimit(Struct):
    """A host's part of one limit, and what it would need.

    Attributes:
        until: monotonic seconds at which the quota ends; 0: there was none yet.
        granted: True for a grant of the holder, False for the equal part.
        in_use: requests in progress that count against it.
        asked: demands of the last second or so, refused ones included.
        asked_tokens: the same, in tokens.
        denied: requests refused of late for want of slots.
        decayed: monotonic seconds up to which those have been faded.
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

    def ask(self, amount: float, now: float) -> None:
        """Count one request's demand, before it is known whether it may start."""
        self._fade(now)
        self.asked += 1
        self.asked_tokens += amount
        self.used = now

    def refusal(self, limits: Limits, tokens: float, now: float) -> RefusalKind | None:
        """Take one request's part; or return what refuses it, with nothing taken."""
        if limits.in_progress > 0 and self.in_use >= self.quota.slots:
            self.denied = min(self.denied + 1, limits.in_progress)
            return RefusalKind.in_progress_limited
        if limits.rate > 0 and not self.requests.take(1, now):
            return RefusalKind.rate_limited
        if limits.tokens > 0 and not self.tokens.take(tokens, now):
            if limits.rate > 0:
                self.requests.give_back(1, now)
            return RefusalKind.tokens_limited
        self.in_use += 1
        return None

    def put_back(self, tokens: float, now: float) -> None:
        """Undo a taken part, since another limit refused the request."""
        self.in_use -= 1
        self.requests.give_back(1, now)
        self.tokens.give_back(tokens, now)

    def leave(self, unused_tokens: float, now: float) -> None:
        """Note that a request has ended, and correct the estimate of its tokens."""
        self.in_use -= 1
        self.tokens.give_back(unused_tokens, now)

    def apply(self, quota: Quota, until: float, granted: bool, now: float) -> None:
        """Go on with another grant, or with the equal part."""
        if self.until == 0.0:
            # A bucket begins full, or a first caller after a pause would be refused.
            self.requests = TokenBucket(quota.rate, max(1.0, quota.rate * BURST), now)
            self.tokens = TokenBucket(quota.tokens, max(1.0, quota.tokens * BURST), now)
        self.quota = quota
        self.until = until
        self.granted = granted
        self.requests.set_rate(quota.rate, now)
        self.tokens.set_rate(quota.tokens, now)

    def busy(self, limits: Limits, part: float, now: float) -> bool:
        """Return whether the demand is above a part of any bound."""
        self._fade(now)
        return (
            (limits.rate > 0 and self.asked > part * limits.rate)
            or (limits.tokens > 0 and self.asked_tokens > part * limits.tokens)
            or (limits.in_progress > 0 and self.in_use > part * limits.in_progress)
            or self.denied > 0.2
        )

    def demand(self, now: float) -> LimitDemand:
        """Return what to report to the holder."""
        self._fade(now)
        wanted = Quota(
            rate=round(self.asked / _DEMAND_MEMORY, 2),
            slots=self.in_use + math.ceil(self.denied - 0.2),
            tokens=round(self.asked_tokens / _DEMAND_MEMORY, 1),
        )
        held = self.quota if self.granted and now < self.until else Quota()
        return LimitDemand(self.key.scope, self.key.name, wanted, held, self.in_use)

    def _fade(self, now: float) -> None:
        kept = math.exp((self.decayed - now) / _DEMAND_MEMORY)
        self.asked *= kept
        self.asked_tokens *= kept
        self.denied *= kept
        self.decayed = now


__all__ = ["LimitKey", "LocalLimit"]
