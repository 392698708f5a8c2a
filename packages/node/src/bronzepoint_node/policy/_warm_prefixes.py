"""Which prompt prefixes another region has most likely cached."""

from collections import OrderedDict

from bronzepoint_schema.ids import RegionName

_MOST_PREFIXES = 2048
_MOST_BLOCKS = 64
_LIFETIME = 60.0
"""Seconds after which a prefix is taken to have left the region's caches."""


class WarmPrefixes:
    """Remembers, for each region, the prefixes of requests that were sent there.

    Caches are regional and no region hears of another's cache events. What this host
    sent there itself is the only knowledge that costs no messages.
    """

    def __init__(self) -> None:
        self._sent: dict[RegionName, OrderedDict[str, float]] = {}

    def add(self, region: RegionName, hashes: list[str], now: float) -> None:
        """Note that a prompt was answered in a region."""
        sent = self._sent.setdefault(region, OrderedDict())
        for block in hashes[:_MOST_BLOCKS]:
            sent[block] = now
            sent.move_to_end(block)
        while len(sent) > _MOST_PREFIXES:
            sent.popitem(last=False)

    def warm_share(self, region: RegionName, hashes: list[str], now: float) -> float:
        """Return the leading part of a prompt believed cached there, 0 to 1."""
        sent = self._sent.get(region)
        if not sent or not hashes:
            return 0.0
        warm = 0
        for block in hashes[:_MOST_BLOCKS]:
            if now - sent.get(block, -_LIFETIME) >= _LIFETIME:
                break
            warm += 1
        return warm / min(len(hashes), _MOST_BLOCKS)


__all__ = ["WarmPrefixes"]
