"""Selects a few of many items for each message, round robin."""

from collections.abc import Sequence
from typing import TypeVar

Item = TypeVar("Item")


def rotating_slice(items: Sequence[Item], start: int, max_items: int) -> list[Item]:
    """Return items from a position on, wrapping around at the end.

    Args:
        items: All items.
        start: Position of the first item to return; taken modulo their number.
        max_items: Maximum number of items; if there are no more, all are returned in
            their order.
    """
    if len(items) <= max_items:
        return list(items)
    start %= len(items)
    return [*items[start:], *items[:start]][:max_items]


__all__ = ["rotating_slice"]
