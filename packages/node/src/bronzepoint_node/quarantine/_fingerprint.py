"""Fingerprints that identify a request when a caller repeats it."""

from hashlib import blake2b

from msgspec import Struct

from bronzepoint_schema.ids import Fingerprint

DIGEST_BYTES = 16
"""Bytes of a digest. The hash is cryptographic, since otherwise a caller could craft a
request with the fingerprint of another caller's."""
ANY_CALLER_PREFIX = "*"
"""Prefix of a fingerprint that doesn't include the caller."""


class RequestFingerprints(Struct, frozen=True):
    """Fingerprints of a request, independent of its request id.

    Attributes:
        exact: Fingerprint of the content and the caller.
        content: Fingerprint of the content alone, as a caller's address may change.
    """

    exact: Fingerprint = Fingerprint("")
    content: Fingerprint = Fingerprint("")

    def __str__(self) -> str:
        return f"{self.exact} {self.content}"

    @classmethod
    def parse(cls, text: str) -> "RequestFingerprints":
        """Parse fingerprints sent by another host; invalid text gives empty ones."""
        exact, _, content = text.partition(" ")
        if len(exact) != 2 * DIGEST_BYTES or not is_any_caller(Fingerprint(content)):
            return cls()
        return cls(Fingerprint(exact), Fingerprint(content))


def fingerprint_request(
    host: str, path: str, caller: str, body: bytes
) -> RequestFingerprints:
    """Return the fingerprints of a request.

    Args:
        host: Requested host name.
        path: Path and query as sent.
        caller: Identity of the caller.
        body: The complete body.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (host.encode(), path.encode()):
        # The length prefix keeps different requests from hashing the same bytes.
        digest.update(len(part).to_bytes(4))
        digest.update(part)
    digest.update(body)
    content = digest.hexdigest()
    digest.update(b"\0" + caller.encode())
    return RequestFingerprints(
        Fingerprint(digest.hexdigest()), Fingerprint(ANY_CALLER_PREFIX + content)
    )


def is_any_caller(name: Fingerprint) -> bool:
    """Return whether a fingerprint doesn't include the caller."""
    return name.startswith(ANY_CALLER_PREFIX)
