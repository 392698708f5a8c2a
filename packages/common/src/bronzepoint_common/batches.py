"""Batches of messages that are bounded in bytes."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

BATCH_BYTES = 64 * 1024
"""Bytes of one batch: what a connection between two regions carries in some 0.2 s. A
longer one comes after its timeout, is dropped, and is sent again without end."""

Item = TypeVar("Item")
_encoder = msgspec.msgpack.Encoder()


def first_batch(items: Iterable[Item], most: int = BATCH_BYTES) -> list[Item]:
    """Return the first items that fit into so many bytes; at least one."""
    batch: list[Item] = []
    used = 0
    for item in items:
        used += len(_encoder.encode(item))
        if batch and used > most:
            break
        batch.append(item)
    return batch


__all__ = ["BATCH_BYTES", "first_batch"]
