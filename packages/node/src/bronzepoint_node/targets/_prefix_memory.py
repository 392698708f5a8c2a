"""Which prompt blocks one target has most likely cached."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from bronzepoint_common.prefix import BLOCK_TOKENS
from bronzepoint_schema.generated.platform import CacheEvent, CacheEventKind

BLOCK_LIFETIME = 120.0
"""Seconds after which a block that nothing was heard of counts as gone."""
GAP_LIFETIME = 10.0
"""Seconds for which a block outlives a gap in the events.

The lost events may have removed any block. A cache removes what was used longest ago,
so those used just before are the ones that most likely survived.
"""


class PrefixMemory:
    """Follows one target's cache by its events and by what was sent there.

    Args:
        most_blocks: Blocks kept; those used longest ago go first.
    """

    def __init__(self, most_blocks: int) -> None:
        self.most_blocks = most_blocks
        self.last_event = 0
        self.gaps = 0
        self._used: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._used)

    def note_sent(self, hashes: Iterable[str], now: float) -> None:
        """Count the blocks of a prompt as cached from the moment it is sent.

        The event comes late; until then the same prefix would go to another target
        and be computed there once more.
        """
        for block in hashes:
            self._touch(block, now)
        self._shrink()

    def note_events(self, events: Iterable[CacheEvent], now: float) -> None:
        """Apply what the target published, in the order of its numbers."""
        for event in events:
            if event.number <= self.last_event:
                continue
            if self.last_event and event.number > self.last_event + 1:
                self._forget_before(now - GAP_LIFETIME)
                self.gaps += 1
            self.last_event = event.number
            self._apply(event, now)
        self._shrink()

    def restart(self) -> None:
        """Forget everything: the target is a new process."""
        self._used.clear()
        self.last_event = 0

    def cached_tokens(self, hashes: Sequence[str], now: float) -> int:
        """Return the tokens of a prompt's leading blocks believed to be cached."""
        oldest = now - BLOCK_LIFETIME
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

    def _forget_before(self, moment: float) -> None:
        while self._used:
            block, used_at = next(iter(self._used.items()))
            if used_at >= moment:
                return
            del self._used[block]

    def _shrink(self) -> None:
        while len(self._used) > self.most_blocks:
            self._used.popitem(last=False)
