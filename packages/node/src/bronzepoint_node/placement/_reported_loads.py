"""Load reports of other hosts for one target, and their running sum."""

from bronzepoint_schema.generated.target_loads import TargetLoad
from bronzepoint_schema.ids import HostName

from ._load_sum import RANK_COUNT, CurrentPrompt, LoadSum, unread_by_rank


class ReportedLoads:
    """The last report of each host, added up.

    A scheduler gets hundreds of reports a second. A report replaces only its host's
    part of the sum; adding up all hosts after each one was the largest single cost.

    Args:
        expiry: Seconds after which a report is ignored.
    """

    def __init__(self, expiry: float) -> None:
        self._expiry = expiry
        # Ordered by time: the first report expires first.
        self._reports: dict[HostName, tuple[float, TargetLoad]] = {}
        self._heads: dict[HostName, CurrentPrompt] = {}
        self._in_flight = 0
        self._memory_tokens = 0
        self._unread = [0] * RANK_COUNT

    def replace(self, host: HostName, load: TargetLoad, now: float) -> None:
        """Record the report of a host in place of its former one."""
        self._remove(host)
        self._reports[host] = (now, load)
        self._add(load, 1)
        if load.head_tokens:
            sent_at = now - load.head_age_ms / 1000
            self._heads[host] = CurrentPrompt(
                sent_at, sent_at, load.head_tokens, load.head_rank
            )

    def get(self, host: HostName, now: float) -> tuple[float, TargetLoad] | None:
        """Return the report of a host with its time; None if it has expired."""
        report = self._reports.get(host)
        if report is None or now - report[0] >= self._expiry:
            return None
        return report

    def clear(self) -> None:
        """Drop all reports."""
        self._reports.clear()
        self._heads.clear()
        self._in_flight = self._memory_tokens = 0
        self._unread = [0] * RANK_COUNT

    def valid_until(self) -> float:
        """Return the time at which the next report expires; infinity if none will."""
        for at, _ in self._reports.values():
            return at + self._expiry
        return float("inf")

    def total(self, now: float) -> LoadSum:
        """Return the sum of the reports that have not expired."""
        self._expire(now)
        total = LoadSum(
            self._in_flight,
            self._memory_tokens,
            [*self._unread],
            None,
            reported=self._in_flight,
        )
        for head in self._heads.values():
            total.update_head(head)
        return total

    def _expire(self, now: float) -> None:
        while self._reports:
            host, (at, _) = next(iter(self._reports.items()))
            if now - at < self._expiry:
                return
            self._remove(host)

    def _remove(self, host: HostName) -> None:
        _, load = self._reports.pop(host, (0.0, None))
        if load is not None:
            self._add(load, -1)
            self._heads.pop(host, None)

    def _add(self, load: TargetLoad, sign: int) -> None:
        self._in_flight += sign * load.in_flight
        self._memory_tokens += sign * load.memory_tokens
        for rank, tokens in enumerate(unread_by_rank(load)):
            if tokens:
                self._unread[rank] += sign * tokens
