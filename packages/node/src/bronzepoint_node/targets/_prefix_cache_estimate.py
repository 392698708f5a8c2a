"""Estimate of the prompt blocks that one target has cached."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from bronzepoint_common.prefix import BLOCK_TOKENS
from bronzepoint_schema.generated.platform import CacheEvent, CacheEventKind

BLOCK_LIFETIME_SECONDS = 120.0
"""Time after which a block without events or uses counts as evicted."""
GAP_LIFETIME_SECONDS = 10.0
"""Age up to which blocks are still assumed to be cached after a gap in the events.

The lost events may have removed any block. A cache evicts the least recently used
blocks, so recently used ones have most likely survived.
"""


class PrefixCacheEstimate:
    """Estimates one target's cache from its events and from the requests sent there.

    Args:
        max_blocks: Maximum number of blocks kept; the least recently used are dropped.

    Attributes:
        last_event: Number of the last event applied; 0: none.
        gaps: Number of gaps in the events so far.
    """

    def __init__(self, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.last_event = 0
        self.gaps = 0
        self._used: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._used)

    def note_sent(self, hashes: Iterable[str], now: float) -> None:
        """Count the blocks of a prompt as cached as soon as it is sent.

        The events are late; until they arrive, the same prefix would otherwise be sent
        to another target and be computed there again.
        """
        for block in hashes:
            self._touch(block, now)
        self._evict_oldest()

    def note_events(self, events: Iterable[CacheEvent], now: float) -> None:
        """Apply published events in the order of their numbers."""
        for event in events:
            if event.number <= self.last_event:
                continue
            if self.last_event and event.number > self.last_event + 1:
                self._evict_before(now - GAP_LIFETIME_SECONDS)
                self.gaps += 1
            self.last_event = event.number
            self._apply(event, now)
        self._evict_oldest()

    def reset(self) -> None:
        """Drop everything: the target is a new process."""
        self._used.clear()
        self.last_event = 0

    def cached_tokens(self, hashes: Sequence[str], now: float) -> int:
        """Return the tokens of a prompt's leading blocks believed to be cached."""
        oldest = now - BLOCK_LIFETIME_SECONDS
        count = 0
        for block in hashes:
            used_at = self._used.get(block)
            if used_at is None or used_at < oldest:
                break
            count += 1
        return count * BLOCK_TOKENS

    def _apply(self, event: CacheEvent, now: float) -> None:
        match event.event:
            case CacheEventKind.stored:
                for block in event.blocks:
                    self._touch(block, now)
            case CacheEventKind.removed:
                for block in event.blocks:
                    self._used.pop(block, None)
            case CacheEventKind.cleared:
                self._used.clear()

    def _touch(self, block: str, now: float) -> None:
        self._used[block] = now
        self._used.move_to_end(block)

    def _evict_before(self, moment: float) -> None:
        while self._used:
            block, used_at = next(iter(self._used.items()))
            if used_at >= moment:
                return
            del self._used[block]

    def _evict_oldest(self) -> None:
        while len(self._used) > self.max_blocks:
            self._used.popitem(last=False)
