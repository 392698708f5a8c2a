"""Idempotency keys: UUIDv7, whose time part says how long they may be resent."""

import uuid

from bronzepoint_node.run_once._clock import MS_PER_SECOND, Clock
from bronzepoint_node.run_once._errors import InvalidKey, KeyAhead

_UUID_VERSION = 7
_TIME_BYTES = 6


def parse_key(key: str) -> bytes:
    """Return the 16 bytes of a UUIDv7.

    Raises:
        InvalidKey: The text is not a UUIDv7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError as exc:
        raise InvalidKey(key) from exc
    if parsed.version != _UUID_VERSION:
        raise InvalidKey(key)
    return parsed.bytes


def key_time(key: bytes) -> int:
    """Return the Unix time in milliseconds at which the key was made."""
    return int.from_bytes(key[:_TIME_BYTES], "big")


class KeyWindow:
    """Which keys may be used at a moment, by their time part.

    A host that takes a request and a copy that keeps its record have clocks that may
    differ by `skew`, and the copy must never have forgotten a key that a host still
    takes: it would let the request run again. So a copy keeps and takes keys for
    twice the skew longer than a host does, at both ends.

    Args:
        lifetime: Seconds for which a key may be resent.
        skew: Seconds by which any two clocks may differ.
        clock: Tells the wall time.
    """

    def __init__(self, lifetime: float, skew: float, clock: Clock) -> None:
        self._lifetime_ms = round(lifetime * MS_PER_SECOND)
        self._skew_ms = round(skew * MS_PER_SECOND)
        self._clock = clock

    def check_ahead(self, key: bytes) -> None:
        """Refuse a key of the future, as a host that takes a request.

        Raises:
            KeyAhead: A copy that loses its memory could not tell that it knew it.
        """
        ahead = key_time(key) - self._clock.wall_ms()
        if ahead > self._skew_ms:
            raise KeyAhead(ahead / MS_PER_SECOND)

    def expired(self, key: bytes) -> bool:
        """Tell whether a host refuses the key because it is too old."""
        return key_time(key) + self._lifetime_ms < self._clock.wall_ms()

    def forgotten(self, key: bytes) -> bool:
        """Tell whether a copy has dropped, or may drop, the record of the key."""
        return not self.in_use(key_time(key))

    def in_use(self, time_ms: int) -> bool:
        """Tell whether a key made at this Unix time may still be used."""
        kept_until = time_ms + self._lifetime_ms + 2 * self._skew_ms
        return kept_until >= self._clock.wall_ms()

    def unborn(self, key: bytes) -> bool:
        """Tell whether a copy refuses the key because its time is still to come."""
        return key_time(key) > self._clock.wall_ms() + 2 * self._skew_ms

    def floor(self) -> int:
        """Return the newest key time (ms) that any copy can have voted on up to now.

        The copy took keys up to twice the skew ahead of its clock, and the clock of a
        machine that replaces it may be behind that clock by the skew.
        """
        return self._clock.wall_ms() + 3 * self._skew_ms

    def switched(self, since: int) -> int:
        """Return the newest key time (ms) voted on by older lists of hosts.

        Args:
            since: Unix time (ms) at which a host took a newer list; 0: it always
                had it, so no key went by an older one.
        """
        return since + 2 * self._skew_ms if since else 0


def new_key(clock: Clock) -> bytes:
    """Return a key of this moment, as a caller would make it."""
    made = clock.wall_ms().to_bytes(_TIME_BYTES, "big")
    return made + bytes(uuid.uuid4().bytes[_TIME_BYTES:])
