"""Estimate of the prompt prefixes that other regions have cached."""

from collections import OrderedDict

from bronzepoint_schema.ids import RegionName

_MAX_BLOCKS_PER_REGION = 2048
_MAX_BLOCKS_PER_PROMPT = 64
_LIFETIME_SECONDS = 60.0
"""Time after which a prefix is assumed to be evicted from the region's caches."""


class WarmPrefixes:
    """Remembers, for each region, the prefixes of requests that were forwarded there.

    Regions don't receive each other's cache events. The requests that this host has
    forwarded itself are the only source that needs no messages.
    """

    def __init__(self) -> None:
        self._sent: dict[RegionName, OrderedDict[str, float]] = {}

    def add(self, region: RegionName, hashes: list[str], now: float) -> None:
        """Record that a prompt was answered in a region."""
        sent = self._sent.setdefault(region, OrderedDict())
        for block in hashes[:_MAX_BLOCKS_PER_PROMPT]:
            sent[block] = now
            sent.move_to_end(block)
        while len(sent) > _MAX_BLOCKS_PER_REGION:
            sent.popitem(last=False)

    def warm_share(self, region: RegionName, hashes: list[str], now: float) -> float:
        """Return the share of a prompt, 0 to 1, whose prefix is likely cached there."""
        sent = self._sent.get(region)
        if not sent or not hashes:
            return 0.0
        warm = 0
        for block in hashes[:_MAX_BLOCKS_PER_PROMPT]:
            if now - sent.get(block, -_LIFETIME_SECONDS) >= _LIFETIME_SECONDS:
                break
            warm += 1
        return warm / min(len(hashes), _MAX_BLOCKS_PER_PROMPT)


__all__ = ["WarmPrefixes"]
