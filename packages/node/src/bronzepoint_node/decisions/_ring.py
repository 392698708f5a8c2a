"""In-memory store of segments, limited by size and age."""

import time
from collections import deque

from bronzepoint_node.decisions._segment import Segment


class SegmentRing:
    """Stores the newest segments and drops the oldest ones.

    Args:
        max_bytes: Limit of the memory for all segments together, in bytes.
        keep: Seconds after which a segment is dropped even if the memory isn't full.
    """

    def __init__(self, max_bytes: int, keep: float) -> None:
        self._max_bytes = max_bytes
        self._keep = keep
        self._segments: deque[Segment] = deque()
        self._bytes = 0
        self._records = 0
        self._dropped_until = time.monotonic()

    @property
    def size(self) -> int:
        """Bytes of memory in use."""
        return self._bytes

    @property
    def records(self) -> int:
        """Number of records stored."""
        return self._records

    @property
    def kept_since(self) -> float:
        """Unix time in seconds; all records added since then are still stored.

        A missing record that is newer was never added. A missing record that is older
        may have been dropped, or lost when the process restarted.
        """
        return time.time() - (time.monotonic() - self._dropped_until)

    def add(self, segment: Segment) -> None:
        """Add a segment, and drop the oldest ones to stay within the limits."""
        self._segments.append(segment)
        self._bytes += segment.size
        self._records += len(segment.keys)
        while self._bytes > self._max_bytes and len(self._segments) > 1:
            self._drop_oldest()
        self.expire(segment.sealed)

    def expire(self, now: float) -> None:
        """Drop the segments that are too old.

        Args:
            now: Monotonic time in seconds.
        """
        while self._segments and now - self._segments[0].sealed > self._keep:
            self._drop_oldest()

    def find(self, key: int) -> list[bytes]:
        """Return the packed records with this key, oldest first."""
        found: list[bytes] = []
        for segment in self._segments:
            found += segment.find(key)
        return found

    def _drop_oldest(self) -> None:
        segment = self._segments.popleft()
        self._bytes -= segment.size
        self._records -= len(segment.keys)
        self._dropped_until = segment.sealed
