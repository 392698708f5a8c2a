"""Rendezvous hashing: the same order on every host that knows the same names."""

from collections.abc import Iterable
from functools import lru_cache
from typing import TypeVar

from xxhash import xxh64_intdigest

Name = TypeVar("Name", bound=str)
MAX_CACHED = 1024
"""Number of first names that are kept. Requests that share a part of their prompt look
for the same one, and the names change rarely."""


def ranked(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names in the rendezvous order of a key.

    When a name is removed, only the keys that ranked it first move to another one.
    """
    return sorted(
        names,
        key=lambda name: (xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


@lru_cache(MAX_CACHED)
def first_ranked(key: str, names: tuple[Name, ...]) -> Name:
    """Return the first name in the rendezvous order of a key."""
    return ranked(key, names)[0]


__all__ = ["first_ranked", "ranked"]
