"""Rendezvous hashing: assigns keys to hosts without coordination between them."""

from collections.abc import Iterable
from typing import TypeVar

from xxhash import xxh64_intdigest

Name = TypeVar("Name", bound=str)


def rendezvous_order(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names by decreasing weight for a key.

    Every host that knows the same names computes the same order. Removing a name
    reassigns only the keys of that name.
    """
    return sorted(
        names, key=lambda name: (rendezvous_weight(key, name), name), reverse=True
    )


def rendezvous_weight(key: str, name: str) -> int:
    """Return the 64-bit weight of one name for a key."""
    return xxh64_intdigest(f"{key}\0{name}".encode())


__all__ = ["rendezvous_order", "rendezvous_weight"]
