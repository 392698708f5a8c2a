"""Bound on the part of a target's time that it spends on reading prompts.

Load: more long prompts than a target can read beside the streams that it writes. An
engine reads a chunk of a prompt in each step as long as there are unread prompts, and a
step with a chunk takes ten times as long as one without. Streams then take so long that
all slots stay occupied and the streams miss their deadlines.
"""

import math

CHUNK_TOKENS = 2048
"""Prompt tokens that an engine reads in one step."""
TIME_CONSTANT = 1.5
"""Seconds after which the weight of a granted prompt has decayed to a third."""
MIX_TIME_CONSTANT = 5.0
"""The same for the sizes of a service's requests."""
MIN_BOUNDED_TOKENS = CHUNK_TOKENS // 2
"""Prompt tokens to be read below which a request is always admitted: it lengthens at
most one or two steps, and writes for longer than it reads."""
READ_PER_WRITTEN = 8
"""Prompt tokens that an engine reads in the time in which it writes one token of an
answer in a full batch; engines differ between 5 and 13."""
LIGHT_LOAD = 0.5
"""Share of the slots in use up to which any prompt is admitted. Streams that are slow
then occupy slots that nobody waits for."""
MIN_SHARE = 0.5
"""Lowest bound. The sizes of granted requests depend on the bound itself; without a
minimum, refusing long prompts would lower the bound further."""
DEADLINE_SHARE = 2 / 3
"""Part of the time to its deadline within which a stream is to be written. The rest is
for the wait before it and for answers that are longer than expected."""
FLOOR_GROWTH = 0.01
"""Relative increase per second of the least seconds per event, so that it follows a
lasting change and a measurement of a fast target is forgotten."""
MIN_EVENT_SECONDS = 1e-4
"""Least seconds per event that are taken as a measurement."""


class _DecayingSum:
    """Sum of amounts whose weight decays exponentially."""

    __slots__ = ("_amount", "_at", "_time_constant")

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._amount = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        self._amount = self.at(now) + amount
        self._at = max(self._at, now)

    def at(self, now: float) -> float:
        if not self._amount or now <= self._at:
            return self._amount
        return self._amount * math.exp((self._at - now) / self._time_constant)


class StreamMix:
    """Sizes of the streams of one service, and their least seconds per event."""

    def __init__(self) -> None:
        self._unread = 0.0
        self._events = 0.0
        self._at = 0.0
        self._floor = 0.0
        self._floor_at = 0.0

    def note_granted(self, unread: float, events: float, now: float) -> None:
        """Record a granted stream.

        Args:
            unread: Prompt tokens that are read for it.
            events: Events that it is expected to have.
            now: Monotonic seconds.
        """
        decay = math.exp(-max(0.0, now - self._at) / MIX_TIME_CONSTANT)
        self._unread = self._unread * decay + unread
        self._events = self._events * decay + events
        self._at = max(self._at, now)

    def note_pace(self, seconds_per_event: float, now: float) -> None:
        """Record the present seconds per event of a target; 0 if unknown."""
        if seconds_per_event < MIN_EVENT_SECONDS:
            return
        floor = self.event_seconds(now)
        if not floor or seconds_per_event < floor:
            self._floor, self._floor_at = seconds_per_event, now

    def event_seconds(self, now: float) -> float:
        """Return the seconds per event of a target that reads nothing; 0 if unknown."""
        return self._floor * (1 + FLOOR_GROWTH * max(0.0, now - self._floor_at))

    @property
    def events_per_unread(self) -> float:
        """Events to be written for each prompt token that is read."""
        return self._events / self._unread if self._unread else 0.0


class ReadingShare:
    """What one target was given to read recently, and what its streams need.

    The host that selects targets for all knows each grant at once. Where several hosts
    select, the others' prompts are known from their load reports. Each of the two sums
    may include the other, so the larger one counts.
    """

    __slots__ = ("_granted", "_needed_pace", "_needed_until", "_reported")

    def __init__(self) -> None:
        self._granted = _DecayingSum(TIME_CONSTANT)
        self._reported = _DecayingSum(TIME_CONSTANT)
        self._needed_pace = 0.0
        self._needed_until = 0.0

    def note_granted(
        self, unread: float, events: float, time_left: float, now: float
    ) -> None:
        """Record a request for which this host has selected the target.

        Args:
            unread: Prompt tokens that are read for it.
            events: Events that it is expected to have; 0 if unknown.
            time_left: Seconds until its deadline.
            now: Monotonic seconds.
        """
        self._granted.add(unread, now)
        pace = events / (DEADLINE_SHARE * max(time_left, 1e-3))
        if pace >= self._needed_pace or now >= self._needed_until:
            self._needed_pace, self._needed_until = pace, now + time_left

    def note_reported(self, unread: float, now: float) -> None:
        """Record prompt tokens of any host that a load report names first."""
        self._reported.add(unread, now)

    def needed_pace(self, now: float) -> float:
        """Return the events per second that the most demanding stream needs."""
        return self._needed_pace if now < self._needed_until else 0.0

    def current(self, rate: float, now: float) -> float:
        """Return the share of the target's time that recent prompts take.

        Args:
            rate: Prompt tokens that the target reads per second.
            now: Monotonic seconds.
        """
        granted, reported = self._granted.at(now), self._reported.at(now)
        tokens = granted if granted > reported else reported
        return tokens / (rate * TIME_CONSTANT)

    def admits(
        self,
        unread: float,
        in_flight: int,
        slots: int,
        rate: float,
        event_tokens: int,
        mix: StreamMix,
        now: float,
        writing_factor: float = 1.0,
    ) -> bool:
        """Return whether the target may get one more prompt to read.

        What counts is the share before the prompt. A prompt that is longer than the
        share allows in the whole period would otherwise never be admitted.

        Args:
            unread: Prompt tokens to be read for the new request.
            in_flight: Requests in progress at the target.
            slots: Maximum number of them.
            rate: Prompt tokens that the target reads per second.
            event_tokens: Tokens in one event of a stream.
            mix: Sizes of the service's streams.
            now: Monotonic seconds.
            writing_factor: How many times longer it takes to write than usual.
        """
        if unread < MIN_BOUNDED_TOKENS or is_light(in_flight, slots):
            return True
        current = self.current(rate, now)
        if current < MIN_SHARE:
            return True
        full = max_share(
            self.needed_pace(now),
            slots,
            rate,
            event_tokens,
            writing_factor * mix.event_seconds(now),
            mix.events_per_unread,
        )
        if full >= 1.0:
            return True
        bound = 1.0 - _excess_load(in_flight, slots) * (1.0 - full)
        return current < bound


def max_share(
    needed_pace: float,
    slots: int,
    rate: float,
    event_tokens: int,
    event_seconds: float,
    events_per_unread: float,
) -> float:
    """Return the largest share of a full target's time that may go to reading.

    With a larger share, a stream is written too slowly for its deadline, or fewer
    streams end than are begun.

    Args:
        needed_pace: Events per second that each running stream needs.
        slots: Streams that run.
        rate: Prompt tokens that are read per second.
        event_tokens: Tokens in one event.
        event_seconds: Seconds per event while nothing is read; 0 if unknown.
        events_per_unread: Events to be written for each token to be read.
    """
    if event_seconds <= 0 or event_tokens <= 0:
        return 1.0
    idle_pace, reading_pace = _paces(rate, event_tokens, event_seconds)
    lost_pace = idle_pace - reading_pace
    in_time = (idle_pace - needed_pace) / lost_pace
    begun = events_per_unread * rate / slots
    freed = idle_pace / (begun + lost_pace)
    return max(MIN_SHARE, min(1.0, in_time, freed))


def expected_event_seconds(
    share: float, rate: float, event_tokens: int, event_seconds: float
) -> float:
    """Return the seconds per event of a target that reads for a share of its time.

    Args:
        share: The share.
        rate: Prompt tokens that are read per second.
        event_tokens: Tokens in one event.
        event_seconds: Seconds per event while nothing is read; 0 if unknown.

    Returns:
        The seconds; 0 if unknown.
    """
    if event_seconds <= 0 or event_tokens <= 0:
        return 0.0
    idle_pace, reading_pace = _paces(rate, event_tokens, event_seconds)
    return 1 / (share * reading_pace + (1 - share) * idle_pace)


def _paces(rate: float, event_tokens: int, event_seconds: float) -> tuple[float, float]:
    """Return the events per second without reading, and beside reading."""
    # An event takes as many steps as it has tokens, and each of them reads a chunk.
    while_reading = event_seconds + event_tokens * CHUNK_TOKENS / rate
    return 1 / event_seconds, 1 / while_reading


def is_light(in_flight: int, slots: int) -> bool:
    """Return whether a target has so many free slots that it may read any prompt."""
    return in_flight <= LIGHT_LOAD * slots


def deadline_factor(in_flight: int, slots: int, light: float) -> float:
    """Return the multiple of its remaining time that a stream may be expected to take.

    A stream that is lost at its deadline costs nothing while slots are free, and takes
    the place of another one at a full target.

    Args:
        in_flight: Requests in progress at the target.
        slots: Maximum number of them.
        light: The multiple for a lightly loaded target.
    """
    return light - _excess_load(in_flight, slots) * (light - 1.0)


def _excess_load(in_flight: int, slots: int) -> float:
    """Return 0 up to a light load, and 1 where all slots are in use."""
    used = in_flight / max(1, slots)
    return min(1.0, max(0.0, (used - LIGHT_LOAD) / (1.0 - LIGHT_LOAD)))
