"""Choice by hash, the same on every host that knows the same names."""

from collections.abc import Iterable
from typing import TypeVar

from xxhash import xxh64_intdigest

Name = TypeVar("Name", bound=str)


def ranked(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names in the key's own order.

    A name that goes takes only its own keys along; the others stay where they are.
    """
    return sorted(
        names,
        key=lambda name: (xxh64_intdigest(f"{key}\0{name}".encode()), name),
        reverse=True,
    )


__all__ = ["ranked"]
