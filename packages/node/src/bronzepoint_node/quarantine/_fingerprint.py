"""The name of what is asked, which stays the same when a caller asks again."""

from hashlib import blake2b

from bronzepoint_schema.ids import Fingerprint

SIZE = 16
"""Bytes of a digest. Cryptographic, or one caller could make up a request that goes by
the name of another's."""


def fingerprint(host: str, path: str, caller: str, body: bytes) -> Fingerprint:
    """Return the name of a request, whatever its id.

    Args:
        host: Host name that is asked for.
        path: Path and query as they were sent.
        caller: Who asks.
        body: The whole body.
    """
    digest = blake2b(digest_size=SIZE)
    for part in (host.encode(), path.encode(), caller.encode()):
        # With their lengths, no two requests give the same bytes.
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
