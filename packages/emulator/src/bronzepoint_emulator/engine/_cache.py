"""LRU prefix cache, keyed by the hashes of prompt blocks."""

from collections import OrderedDict
from collections.abc import Callable

from bronzepoint_schema.generated.platform import CacheEventKind

Listener = Callable[[CacheEventKind, list[str]], None]


class PrefixCache:
    """Holds the most recently used blocks.

    Args:
        size: Capacity in blocks.
        listener: Called with each change and the blocks concerned.
    """

    def __init__(self, size: int, listener: Listener) -> None:
        self._size = size
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._listener = listener

    def match(self, blocks: list[str]) -> int:
        """Return the number of leading blocks cached; mark them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: list[str]) -> None:
        """Add blocks; the least recently used ones are evicted."""
        added = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if added:
            self._listener(CacheEventKind.stored, added)
        removed = self._shrink()
        if removed:
            self._listener(CacheEventKind.removed, removed)

    def _shrink(self) -> list[str]:
        removed: list[str] = []
        while len(self._blocks) > self._size:
            removed.append(self._blocks.popitem(last=False)[0])
        return removed

    def clear(self) -> None:
        """Remove all blocks."""
        self._blocks.clear()
        self._listener(CacheEventKind.cleared, [])

    def blocks(self) -> list[str]:
        """Return all cached blocks, the most recently used last."""
        return list(self._blocks)
