"""The names of what is asked, which stay the same when a caller asks again."""

from hashlib import blake2b

from msgspec import Struct

from bronzepoint_schema.ids import Fingerprint

SIZE = 16
"""Bytes of a digest. Cryptographic, or one caller could make up a request that goes by
the name of another's."""
ANY_CALLER = "*"
"""First letter of a name that leaves the caller out."""


class RequestNames(Struct, frozen=True):
    """What a request is known by, whatever its id.

    Attributes:
        exact: Name of what one caller asks.
        content: Name of what is asked, whoever asks: a caller's address may change.
    """

    exact: Fingerprint = Fingerprint("")
    content: Fingerprint = Fingerprint("")

    def __str__(self) -> str:
        return f"{self.exact} {self.content}"

    @classmethod
    def parse(cls, text: str) -> "RequestNames":
        """Read names that another host has sent; unreadable ones name nothing."""
        exact, _, content = text.partition(" ")
        if len(exact) != 2 * SIZE or not is_any_caller(Fingerprint(content)):
            return cls()
        return cls(Fingerprint(exact), Fingerprint(content))


def name_request(host: str, path: str, caller: str, body: bytes) -> RequestNames:
    """Return the names of a request.

    Args:
        host: Host name that is asked for.
        path: Path and query as they were sent.
        caller: Who asks.
        body: The whole body.
    """
    digest = blake2b(digest_size=SIZE)
    for part in (host.encode(), path.encode()):
        # With their lengths, no two requests give the same bytes.
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    content = digest.hexdigest()
    digest.update(b"\0" + caller.encode())
    return RequestNames(
        Fingerprint(digest.hexdigest()), Fingerprint(ANY_CALLER + content)
    )


def is_any_caller(name: Fingerprint) -> bool:
    """Tell whether a name leaves the caller out."""
    return name.startswith(ANY_CALLER)
