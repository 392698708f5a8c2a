"""Choice of a host by hash, the same on every host that knows the same hosts."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from bronzepoint_schema.ids import HostName


def ranked_hosts(key: str, hosts: Iterable[HostName]) -> list[HostName]:
    """Return the hosts in the key's own order.

    A host that goes takes only its own keys along; the others stay where they are.
    """
    return sorted(
        hosts,
        key=lambda host: (xxh64_intdigest(f"{key}\0{host}".encode()), host),
        reverse=True,
    )


__all__ = ["ranked_hosts"]
