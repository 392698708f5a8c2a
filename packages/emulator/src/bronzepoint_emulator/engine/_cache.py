"""Prefix cache of limited size, by the hashes of prompt blocks."""

from collections import OrderedDict
from collections.abc import Callable

from bronzepoint_schema.generated.platform import CacheEventKind

Listener = Callable[[CacheEventKind, list[str]], None]


class PrefixCache:
    """Holds the blocks that were used last.

    Args:
        size: Blocks that it holds.
        listener: Told of every change.
    """

    def __init__(self, size: int, listener: Listener) -> None:
        self._size = size
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._listener = listener

    def match(self, blocks: list[str]) -> int:
        """Return how many leading blocks are cached, and mark them as used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: list[str]) -> None:
        """Add blocks; those that were not used for longest make room."""
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
        """Forget everything."""
        self._blocks.clear()
        self._listener(CacheEventKind.cleared, [])

    def blocks(self) -> list[str]:
        """Return all cached blocks, those used last at the end."""
        return list(self._blocks)
