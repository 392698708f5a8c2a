"""Limit on retries, across all hosts together."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics

from ._delivery import Delivery

WINDOW = 10.0
"""Seconds over which retries are limited."""
REQUEST_VALIDITY = 5.0
"""Seconds for which a request allows retries.

A host that is killed may just have used all that its requests allowed, and its next
process doesn't know. With the whole window, both together could exceed the limit.
"""
RATIO_USED = 0.75
"""Fraction of the granted ratio that is used, since requests and retries are counted at
different moments here and where they arrive."""
STARTING_RATIO_USED = 0.625
"""The same for the first window of a process, whose predecessor may have used up to
half a window of requests shortly before."""
DISCOVERY_TIME = 5.0
"""Seconds within which hosts of a region learn of one that has started, if they reach
the core."""
SLACK_USED = 0.7
"""Fraction of the granted slack that is divided among the hosts."""
LOG_INTERVAL = 1.0
"""Minimum seconds between two log lines about the budget of a service."""

_log = get_logger("retries")


@dataclass(slots=True)
class _Retry:
    """A retry of one request.

    Attributes:
        at: Monotonic time until which the request may have arrived once more.
        deliveries: All sends of the request.
    """

    at: float
    deliveries: Sequence[Delivery]

    def update(self, now: float) -> None:
        """Let it count anew while one of the sends may still arrive."""
        for delivery in self.deliveries:
            self.at = max(self.at, delivery.latest_arrival(now))


@dataclass
class _Account:
    """Requests and retries of one service; all times are monotonic seconds.

    Attributes:
        requests: Times of the requests to this host that allow retries.
        paid: The retries that these requests allowed.
        unpaid: The retries taken from the slack.
        denied: Retries denied since the last log line.
        logged_at: Time of the last log line.
    """

    requests: deque[float] = field(default_factory=deque)
    paid: list[_Retry] = field(default_factory=list)
    unpaid: list[_Retry] = field(default_factory=list)
    denied: int = 0
    logged_at: float = -math.inf

    def expire(self, now: float) -> None:
        """Drop what no longer counts."""
        _drop_older(self.requests, now - REQUEST_VALIDITY)
        self.paid = _newer_than(self.paid, REQUEST_VALIDITY, now)
        self.unpaid = _newer_than(self.unpaid, WINDOW, now)


class RetryBudget:
    """A host's share of the retries that all hosts may make at one service.

    Each host may retry a fraction of the requests that it received itself, and use an
    equal share of the slack. The sum stays within the limit without any messages, also
    in a network partition: the slack is divided among all regions of the settings, and
    in each region by the largest number of hosts seen.

    A retry counts for as long as one of the sends of its request may still arrive, and
    for the usual time after that.

    A process can't know what the one before it on the same host has used, nor how many
    others start with it. So it starts as if its predecessor had used everything, and
    the other hosts divided the slack without it: without slack for one window after
    they know of it, and with retries only for requests that it received itself.

    Args:
        ratio: Retries allowed per request.
        slack: Additional retries allowed, for all hosts together.
        regions: Number of regions.
        started_at: Start of this process, in monotonic seconds.
        metrics: Counters of retries made and denied.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        regions: int,
        started_at: float,
        metrics: Metrics | None = None,
    ) -> None:
        self._ratio = ratio
        self._region_slack = slack * SLACK_USED / max(1, regions)
        self._first_window_end = started_at + WINDOW
        self._slack_from = started_at + DISCOVERY_TIME + WINDOW
        self._metrics = metrics if metrics is not None else Metrics()
        self._hosts = 0
        self._accounts: dict[str, _Account] = {}

    def note_hosts(self, count: int) -> None:
        """Record the number of live entry hosts of the region; only increases count.

        Until the first call a host has no share of the slack. Otherwise each of many
        hosts that start together would use all of it.

        In a network partition a host sees few others. If its share grew, the hosts on
        both sides together would exceed the limit.
        """
        self._hosts = max(self._hosts, count)

    def note_request(self, service: str, now: float) -> None:
        """Record a request to this host that allows retries at the service."""
        self._account(service, now).requests.append(now)

    def has_left(self, service: str, now: float) -> bool:
        """Return whether a retry is left of this host's share."""
        account = self._account(service, now)
        return len(account.paid) + 1 <= self._payable(account, now) or len(
            account.unpaid
        ) + 1 <= self._slack_share(now)

    def take(self, service: str, deliveries: Sequence[Delivery], now: float) -> bool:
        """Use one retry; return False if this host's share is used up.

        Args:
            service: The service.
            deliveries: All sends of the request; those to come are added to it.
            now: Monotonic seconds.
        """
        account = self._account(service, now)
        is_granted = True
        if len(account.paid) + 1 <= self._payable(account, now):
            account.paid.append(_Retry(now, deliveries))
        elif len(account.unpaid) + 1 <= self._slack_share(now):
            account.unpaid.append(_Retry(now, deliveries))
        else:
            account.denied += 1
            is_granted = False
        self._metrics.incr("retry.made" if is_granted else "retry.denied")
        self._log_state(service, account, now)
        return is_granted

    def charge(self, service: str, deliveries: Sequence[Delivery], now: float) -> None:
        """Charge a retry that another host may have made, even above the share.

        Args:
            service: The service.
            deliveries: All sends of the request by this host.
            now: Monotonic seconds.
        """
        self._account(service, now).unpaid.append(_Retry(now, deliveries))
        self._metrics.incr("retry.charged")

    def describe(self, service: str, now: float) -> str:
        """Return what is used of this host's share, for the log."""
        account = self._account(service, now)
        used = (
            f"{len(account.paid)} of {self._payable(account, now):.1f} for "
            f"{len(account.requests)} requests in {REQUEST_VALIDITY:.0f} s, "
            f"{len(account.unpaid)} of {self._slack_share(now):.1f} of the slack in "
            f"{WINDOW:.0f} s as one of {self._hosts} hosts"
        )
        if now < self._slack_from:
            used += f", none of it for another {self._slack_from - now:.1f} s"
        return used

    def _payable(self, account: _Account, now: float) -> float:
        """Return the number of retries that the requests of this host allow."""
        is_starting = now < self._first_window_end
        used = STARTING_RATIO_USED if is_starting else RATIO_USED
        return self._ratio * used * len(account.requests)

    def _slack_share(self, now: float) -> float:
        if not self._hosts or now < self._slack_from:
            return 0.0
        return self._region_slack / self._hosts

    def _account(self, service: str, now: float) -> _Account:
        account = self._accounts.setdefault(service, _Account())
        account.expire(now)
        return account

    def _log_state(self, service: str, account: _Account, now: float) -> None:
        if now - account.logged_at < LOG_INTERVAL:
            return
        account.logged_at = now
        used = self.describe(service, now)
        _log.info("retry budget", service=service, used=used, denied=account.denied)
        account.denied = 0


def _newer_than(retries: list[_Retry], seconds: float, now: float) -> list[_Retry]:
    for retry in retries:
        retry.update(now)
    return [retry for retry in retries if retry.at >= now - seconds]


def _drop_older(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
