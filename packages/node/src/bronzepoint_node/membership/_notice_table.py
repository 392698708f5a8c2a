"""Notices of leaving targets, shared between the hosts of a region."""

import time
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from bronzepoint_schema.generated.membership import NoticeSource, TargetNotice
from bronzepoint_schema.ids import TargetName

NOTICE_LIFETIME = 300.0
"""Seconds after which a notice expires.

Without expiry, the end of a long partition would bring back notices from before a
target returned. Hosts that continue to poll a leaving target renew its notice.
"""

_Key = tuple[TargetName, NoticeSource]


class NoticeTable:
    """Stores the newest notice of each target from each source.

    Args:
        wall_clock: Returns the Unix time in seconds.
    """

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._notices: dict[_Key, TargetNotice] = {}

    def merge(self, notices: Iterable[TargetNotice]) -> list[TargetNotice]:
        """Merge notices and return those that were newer."""
        now = self._wall_clock()
        merged = []
        for notice in notices:
            if abs(now - notice.as_of) > NOTICE_LIFETIME:
                continue
            key = (notice.target, notice.source)
            known = self._notices.get(key)
            if known is None or supersedes(notice, known):
                self._notices[key] = notice
                merged.append(notice)
        return merged

    def drop_old(self) -> None:
        """Drop expired notices."""
        oldest = self._wall_clock() - NOTICE_LIFETIME
        self._notices = {
            key: notice
            for key, notice in self._notices.items()
            if notice.as_of >= oldest
        }

    def all(self) -> list[TargetNotice]:
        """Return all notices."""
        return list(self._notices.values())

    def newest(self, count: int) -> list[TargetNotice]:
        """Return at most `count` notices, newest first."""
        ordered = sorted(self._notices.values(), key=lambda n: n.as_of, reverse=True)
        return ordered[:count]

    @property
    def digest(self) -> int:
        """XOR of the notices' hashes; equal if two hosts have the same notices."""
        total = 0
        for notice in self._notices.values():
            total ^= xxhash.xxh32_intdigest(msgspec.msgpack.encode(notice))
        return total


def supersedes(notice: TargetNotice, known: TargetNotice) -> bool:
    """Return whether a notice replaces one of the same target and source."""
    if notice.as_of != known.as_of:
        return notice.as_of > known.as_of
    # At the same time, the notice that the target is leaving wins: it is a fault to
    # send requests to a leaving target, but not to send none for a second to one
    # that stays.
    return notice.leaving and not known.leaving
