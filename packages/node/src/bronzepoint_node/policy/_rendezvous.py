"""Rendezvous hashing: the same order on every host that knows the same names."""

from collections.abc import Iterable
from typing import TypeVar

from xxhash import xxh64_intdigest

Name = TypeVar("Name", bound=str)


def ranked(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names in the rendezvous order of a key.

    When a name is removed, only the keys that ranked it first move to another one.
    """
    return sorted(
        names,
        key=lambda name: (xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


__all__ = ["ranked"]
