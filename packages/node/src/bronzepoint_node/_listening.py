"""An address of the settings that can't be listened on."""

from collections.abc import Iterator
from contextlib import contextmanager


class AddressUnusable(Exception):
    """A key of [listen] names an address that this process can't listen on."""

    def __init__(self, key: str, address: str, reason: str) -> None:
        super().__init__(
            f"[listen] {key} = {address} can't be listened on ({reason}): end the "
            "process that has it, or give an address of this machine that is free"
        )


@contextmanager
def listening(key: str, address: str) -> Iterator[None]:
    """Turn an error of the system's inside the block into one that names the key.

    Raises:
        AddressUnusable: The block raised an OSError.
    """
    try:
        yield
    except OSError as exc:
        raise AddressUnusable(key, address, exc.strerror or str(exc)) from exc
