"""Batches of messages with a bounded size in bytes."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec

BATCH_BYTES = 64 * 1024
"""Maximum size of a batch in bytes: a connection between two regions transfers this
in about 0.2 s. A larger batch arrives after its timeout, is dropped and is sent again,
endlessly."""

Item = TypeVar("Item")
_encoder = msgspec.msgpack.Encoder()


def first_batch(items: Iterable[Item], max_bytes: int = BATCH_BYTES) -> list[Item]:
    """Return the first items that fit into ``max_bytes``; at least one."""
    batch: list[Item] = []
    used = 0
    for item in items:
        used += len(_encoder.encode(item))
        if batch and used > max_bytes:
            break
        batch.append(item)
    return batch


__all__ = ["BATCH_BYTES", "first_batch"]
