"""Error for an address in the settings that can't be listened on."""

from collections.abc import Iterator
from contextlib import contextmanager


class AddressUnusable(Exception):
    """The process can't listen on an address given in [listen]."""

    def __init__(self, key: str, address: str, reason: str) -> None:
        super().__init__(
            f"[listen] {key} = {address} can't be listened on ({reason}): stop the "
            "process that uses it, or set a free address of this machine"
        )


@contextmanager
def listening(key: str, address: str) -> Iterator[None]:
    """Convert an OSError raised in the block into an error that names the key.

    Raises:
        AddressUnusable: The block raised an OSError.
    """
    try:
        yield
    except OSError as exc:
        raise AddressUnusable(key, address, exc.strerror or str(exc)) from exc
