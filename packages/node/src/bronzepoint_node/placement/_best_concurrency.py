"""Number of requests beyond which a target finishes no more of them per second.

Load: targets that become slower when nearly full. Above their best concurrency each
further request only makes all others slower, while it could wait or run elsewhere.
"""

import math
from collections import deque

PAIR_SECONDS = 1.0
"""Seconds over which requests in progress and events per second are measured."""
ROUNDING_SECONDS = 0.001
"""Rounding error of a sum of times."""
LEVELS = 8
"""Levels of load, of equal size up to the slots, that are told apart."""
MIN_PAIRS = 5
"""Measurements of a level below which it is unknown. A slow interval of 0.6 s, in which
requests pile up at the target, affects two of them."""
MAX_PAIRS = 12
"""Measurements that are kept for each level."""
EVIDENCE_SECONDS = 20.0
"""Seconds after which a limit that was not confirmed is dropped."""
PAIR_EXPIRY = 60.0
"""Seconds for which measurements are kept. Lower and higher levels are compared, and
the load takes some time to change between them."""
MIN_GAIN = 0.05
"""Relative growth of the throughput that shows that a higher level is better. One
further level of eight yields at least 0.14 where the throughput grows in proportion."""
MIN_LIMIT_SHARE = 0.25
"""Lowest limit as a share of the slots."""
TRIAL_INTERVAL = 5.0
"""Seconds between two attempts to raise the limit by one."""
TRIAL_PAIRS = 3
"""Measurements of the throughput before and after a raise."""
COPY_EXPIRY = 3.0
"""Seconds for which the limit that another host reports is passed on."""


class BestConcurrency:
    """Limit on the requests in progress at one start of a target.

    Attributes:
        limit: Maximum number of requests in progress; None: its slots.
        reason: Why it has this value, for the log.
    """

    def __init__(self) -> None:
        self.limit: int | None = None
        self.reason = "no measurements"
        self._events = 0
        self._in_flight = 0.0
        self._seconds = 0.0
        self._is_valid = True
        self._updated_at = -math.inf
        self._has_measured = False
        self._levels: dict[int, deque[tuple[float, float]]] = {}
        self._confirmed_at = -math.inf
        self._at_limit: deque[float] = deque(maxlen=TRIAL_PAIRS)
        self._before_trial: float | None = None
        self._trial_ended_at = -math.inf
        self._copy = 0
        self._copied_at = -math.inf

    def note_events(self, events: int) -> None:
        """Record events of the target's streams."""
        self._events += events

    def update(self, in_flight: int, slowdown: float, slots: int, now: float) -> None:
        """Record the present load, and update the limit once per period.

        Args:
            in_flight: Requests in progress.
            slowdown: Expected seconds per event at the present share of reading over
                those without reading; 0 if the throughput cannot be compared now.
            slots: Maximum number of requests that it serves concurrently.
            now: Monotonic seconds.
        """
        seconds = min(PAIR_SECONDS, max(0.0, now - self._updated_at))
        if self._updated_at == -math.inf:
            self._events = 0
        self._updated_at = now
        self._is_valid = self._is_valid and slowdown > 0
        self._in_flight += in_flight * seconds
        self._seconds += seconds
        if self._seconds < PAIR_SECONDS - ROUNDING_SECONDS:
            return
        mean = self._in_flight / self._seconds
        throughput = self._events / self._seconds * slowdown
        is_valid, self._is_valid = self._is_valid and throughput > 0, True
        self._events, self._in_flight, self._seconds = 0, 0.0, 0.0
        if is_valid:
            self._add_pair(mean, throughput, slots, now)
        self._update_limit(slots, now)

    def apply_copy(self, limit: int, now: float) -> None:
        """Record the limit that another host reports; 0 if it knows none.

        It counts as confirmed once, where this host has no measurements of its own. If
        it counted each time, hosts would keep an old limit alive by repeating it.
        """
        self._copy, self._copied_at = limit, now
        if limit and not self._has_measured and self.limit is None:
            self.limit, self.reason = limit, "taken over"
            self._confirmed_at = now

    def reported(self, now: float) -> int:
        """Return the limit for other hosts; 0 if there is none."""
        if self._has_measured:
            return self.limit or 0
        return self._copy if now - self._copied_at < COPY_EXPIRY else 0

    def _add_pair(self, mean: float, throughput: float, slots: int, now: float) -> None:
        self._has_measured = True
        count = min(LEVELS, slots)
        level = min(count - 1, int(mean * count / slots))
        pairs = self._levels.setdefault(level, deque(maxlen=MAX_PAIRS))
        pairs.append((now, throughput))
        if self.limit is not None and mean >= self.limit - 0.5:
            self._at_limit.append(throughput)
        else:
            self._at_limit.clear()

    def _update_limit(self, slots: int, now: float) -> None:
        for pairs in self._levels.values():
            while pairs and now - pairs[0][0] > PAIR_EXPIRY:
                pairs.popleft()
        if self.limit is None:
            self._find_limit(slots, now)
            return
        if now - self._confirmed_at > EVIDENCE_SECONDS:
            self._drop("not confirmed lately")
            return
        if len(self._at_limit) == TRIAL_PAIRS:
            self._try_higher(slots, now)

    def _find_limit(self, slots: int, now: float) -> None:
        known = {
            level: _upper_quartile([throughput for _, throughput in pairs])
            for level, pairs in self._levels.items()
            if len(pairs) >= MIN_PAIRS
        }
        knee = find_knee(known)
        if knee is None:
            self.reason = "throughput grows up to the slots, as far as is known"
            return
        highest = math.ceil((knee + 1) * slots / min(LEVELS, slots))
        self.limit = max(math.ceil(MIN_LIMIT_SHARE * slots), highest)
        if self.limit >= slots:
            self._drop("throughput grows up to the slots")
            return
        self.reason = "no more throughput above"
        self._confirmed_at = self._trial_ended_at = now
        self._before_trial = None
        self._at_limit.clear()

    def _try_higher(self, slots: int, now: float) -> None:
        """Raise the limit by one, or decide whether the last raise was of use."""
        throughput = sum(self._at_limit) / len(self._at_limit)
        if self._before_trial is None:
            if now - self._trial_ended_at < TRIAL_INTERVAL:
                return
            self._before_trial = throughput
            self.limit += 1
            self.reason = "trial of one more"
            self._at_limit.clear()
            return
        # In proportion to the requests, the throughput would grow by 1 / limit.
        has_grown = throughput >= self._before_trial * (1 + 0.5 / self.limit)
        self._before_trial = None
        self._confirmed_at = now
        self._at_limit.clear()
        if has_grown:
            self.reason = "throughput grew with the last raise"
            if self.limit >= slots:
                self._drop("throughput grows up to the slots")
            return
        self.limit -= 1
        self.reason = "no more throughput above"
        self._trial_ended_at = now

    def _drop(self, reason: str) -> None:
        self.limit, self.reason = None, reason
        self._before_trial = None
        self._at_limit.clear()
        self._levels.clear()


def find_knee(throughputs: dict[int, float]) -> int | None:
    """Return the lowest level above which the throughput does not grow.

    Args:
        throughputs: Events per second of the levels that are known.

    Returns:
        The level; None if fewer than two higher levels are known, or the throughput
        grows up to the highest one.
    """
    ordered = sorted(throughputs)
    for index, level in enumerate(ordered):
        higher = [throughputs[other] for other in ordered[index + 1 :]]
        if len(higher) < 2:
            return None
        if max(higher) <= (1 + MIN_GAIN) * throughputs[level]:
            return level
    return None


def _upper_quartile(values: list[float]) -> float:
    """Return the upper quartile; slow intervals lower the other values."""
    return sorted(values)[(3 * len(values)) // 4]
