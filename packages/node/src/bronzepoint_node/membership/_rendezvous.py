"""Rendezvous hashing: who of many does what, without anyone being told."""

from collections.abc import Iterable

import xxhash


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their hash with the key.

    Every host that knows the same names finds the same order, and a name that goes or
    comes moves no other ones.
    """
    return sorted(names, key=lambda name: rendezvous_weight(key, name), reverse=True)


def rendezvous_weight(key: str, name: str) -> int:
    """Return the 64-bit weight of one name for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
