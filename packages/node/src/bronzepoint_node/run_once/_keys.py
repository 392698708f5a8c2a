"""Idempotency keys: UUIDv7, whose timestamp limits how long they may be resent."""

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
    """Return the Unix time in milliseconds at which the key was created."""
    return int.from_bytes(key[:_TIME_BYTES], "big")


class KeyWindow:
    """Determines from its timestamp whether a key may be used.

    The clocks of a host that accepts a request and of a replica that keeps its record
    may differ by `skew`. A replica must not drop a key that a host still accepts, or
    the request could run again. So replicas accept and keep keys for twice the skew
    longer than hosts do, at both ends of the lifetime.

    Args:
        lifetime: Seconds for which a key may be resent.
        skew: Maximum difference (s) between any two clocks.
        clock: Source of the wall time.
    """

    def __init__(self, lifetime: float, skew: float, clock: Clock) -> None:
        self._lifetime_ms = round(lifetime * MS_PER_SECOND)
        self._skew_ms = round(skew * MS_PER_SECOND)
        self._clock = clock

    def check_ahead(self, key: bytes) -> None:
        """Check, on a host that accepts a request, that a key isn't in the future.

        A replica that loses its memory could not detect that it had voted on such a
        key before.

        Raises:
            KeyAhead: The key is ahead of this host's clock by more than the skew.
        """
        ahead = key_time(key) - self._clock.wall_ms()
        if ahead > self._skew_ms:
            raise KeyAhead(ahead / MS_PER_SECOND)

    def is_expired(self, key: bytes) -> bool:
        """Return whether a host refuses the key because it is too old."""
        return key_time(key) + self._lifetime_ms < self._clock.wall_ms()

    def may_be_dropped(self, key: bytes) -> bool:
        """Return whether a replica has dropped, or may drop, the key's register."""
        return not self.is_in_use(key_time(key))

    def is_in_use(self, time_ms: int) -> bool:
        """Return whether a key created at this Unix time (ms) may still be used."""
        kept_until = time_ms + self._lifetime_ms + 2 * self._skew_ms
        return kept_until >= self._clock.wall_ms()

    def is_too_new(self, key: bytes) -> bool:
        """Return whether a replica refuses the key because it is in the future."""
        return key_time(key) > self._clock.wall_ms() + 2 * self._skew_ms

    def floor(self) -> int:
        """Return the newest key time (ms) that a replica can have voted on until now.

        A replica accepts keys up to twice the skew ahead of its clock, and the clock
        of a replacement machine may be behind that clock by the skew.
        """
        return self._clock.wall_ms() + 3 * self._skew_ms

    def newest_old_list_key(self, since: int) -> int:
        """Return the newest key time (ms) whose owners came from an older host list.

        Args:
            since: Unix time (ms) at which a host adopted the newer list; 0 if it
                always had that list, so that no key used an older one.
        """
        return since + 2 * self._skew_ms if since else 0


def new_key(clock: Clock) -> bytes:
    """Return a key with the current time, as a caller would create it."""
    created = clock.wall_ms().to_bytes(_TIME_BYTES, "big")
    return created + bytes(uuid.uuid4().bytes[_TIME_BYTES:])
