"""Fingerprints that identify a request when a caller repeats it."""

from collections.abc import Iterable
from hashlib import blake2b

from msgspec import Struct

from bronzepoint_schema.ids import Fingerprint

DIGEST_BYTES = 16
"""Bytes of a digest. The hash is cryptographic, since otherwise a caller could craft a
request with the fingerprint of another caller's."""
ANY_CALLER_PREFIX = "*"
"""Prefix of a fingerprint that doesn't include the caller."""
PART_PREFIX = "+"
"""Prefix of the fingerprint of a prompt part, which many requests share."""
COMBINATION_PREFIX = "&"
"""Prefix of the fingerprint of several prompt parts together."""
MAX_PARTS = 64
"""Maximum number of parts of a prompt that get a fingerprint."""
MAX_PART_NAME = 64
"""Maximum characters of a part's name in its fingerprint; longer ones are hashed."""
TAG_CHARACTERS = 8
"""Characters of a request's tag, which tells it from the others at a few crashes."""


class RequestFingerprints(Struct, frozen=True):
    """Fingerprints of a request, independent of its request id.

    Attributes:
        exact: Fingerprint of the content and the caller.
        content: Fingerprint of the content alone, as a caller's address may change.
        parts: Fingerprints of the parts of its prompt that other requests may share.
        tag: Short name of the request in the records of its parts.
    """

    exact: Fingerprint = Fingerprint("")
    content: Fingerprint = Fingerprint("")
    parts: tuple[Fingerprint, ...] = ()
    tag: str = ""

    @property
    def without_parts(self) -> "RequestFingerprints":
        """Fingerprints of the request itself."""
        return RequestFingerprints(self.exact, self.content)

    def with_parts(self, service: str, names: list[str]) -> "RequestFingerprints":
        """Add the parts of the prompt to the fingerprints.

        Args:
            service: Service that runs the prompt.
            names: Names of all parts; the last one is specific to the request.
        """
        # Requests with the same body may have different prompts.
        digest = blake2b("\0".join([self.content, *names]).encode()).hexdigest()
        return RequestFingerprints(
            self.exact,
            self.content,
            fingerprint_parts(service, names[:-1]),
            digest[:TAG_CHARACTERS],
        )

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


def fingerprint_parts(service: str, names: Iterable[str]) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of prompt parts, each once.

    Args:
        service: Service that runs the prompt: what crashes its targets may be sound for
            the targets of another one.
        names: Names of the parts.
    """
    found = dict.fromkeys(names)
    return tuple(
        Fingerprint(f"{PART_PREFIX}{service}/{_short(name)}")
        for name in list(found)[:MAX_PARTS]
    )


def _short(name: str) -> str:
    if len(name) <= MAX_PART_NAME:
        return name
    return blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()


def combine_parts(parts: Iterable[Fingerprint]) -> Fingerprint:
    """Return the fingerprint of prompt parts that come together."""
    ordered = sorted(parts)
    if len(ordered) == 1:
        return ordered[0]
    digest = blake2b(" ".join(ordered).encode(), digest_size=DIGEST_BYTES)
    return Fingerprint(COMBINATION_PREFIX + digest.hexdigest())


def is_part(name: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return name.startswith(PART_PREFIX)


def is_combination(name: Fingerprint) -> bool:
    """Return whether a fingerprint is that of several prompt parts together."""
    return name.startswith(COMBINATION_PREFIX)


def is_any_caller(name: Fingerprint) -> bool:
    """Return whether a fingerprint doesn't include the caller."""
    return name.startswith(ANY_CALLER_PREFIX)
