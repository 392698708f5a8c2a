"""Streams that have begun, in the memory of one host."""

from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct

from ._origin import StreamOrigin

ORIGIN_RETENTION = 60.0
"""Seconds for which a stream's origin is kept after the stream last began or went on,
longer than a caller waits for an answer."""
MAX_ORIGINS = 20_000
"""Maximum number of streams in the table; the oldest are dropped."""
MAX_PER_KEY = 2
"""Different origins kept for one key; two show that attempts share an id."""


class _Record(Struct):
    """Origins of a key, and the monotonic seconds until which they are kept."""

    origins: tuple[StreamOrigin, ...]
    kept_until: float
    own: bool


class OriginTable:
    """Origins by key, each for `ORIGIN_RETENTION` seconds."""

    def __init__(self) -> None:
        self._records: OrderedDict[int, _Record] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def add(
        self, key: int, origin: StreamOrigin, now: float, *, own: bool = False
    ) -> None:
        """Record that a stream has begun, or has gone on.

        Args:
            key: Key of the stream.
            origin: Its origin.
            now: Monotonic seconds.
            own: Whether this host has sent its events to the caller.
        """
        record = self._records.pop(key, None)
        origins = record.origins if record is not None else ()
        if origin not in origins:
            origins = (*origins, origin)[:MAX_PER_KEY]
        own = own or (record is not None and record.own)
        self._records[key] = _Record(origins, now + ORIGIN_RETENTION, own)
        self._prune(now)

    def find(self, key: int, now: float) -> tuple[StreamOrigin, ...]:
        """Return the origins of a key; empty if it is unknown."""
        record = self._records.get(key)
        if record is None or record.kept_until < now:
            return ()
        return record.origins

    def own(
        self, services: Iterable[str], now: float
    ) -> list[tuple[int, StreamOrigin]]:
        """Return the streams of some services that this host has sent to callers."""
        wanted = set(services)
        return [
            (key, origin)
            for key, record in self._records.items()
            if record.own and record.kept_until >= now
            for origin in record.origins
            if origin.service in wanted
        ]

    def _prune(self, now: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.kept_until >= now and len(self._records) <= MAX_ORIGINS:
                return
            del self._records[key]
