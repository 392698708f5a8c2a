"""Organisations of the catalogue and their quotas."""

from hashlib import blake2b

from msgspec import Struct

from bronzepoint_schema.ids import KeyDigest, OrganisationName, RegionName

DIGEST_SIZE = 16
"""Bytes of a key's digest."""
SHOWN_DIGITS = 8
"""Number of hex digits of a key's digest that log lines show."""


class Quota(Struct, frozen=True):
    """Limit of an organisation's use over all hosts.

    Attributes:
        rate: Units per second.
        burst: Units that may be used at once after a pause.
        in_tokens: Whether the unit is a token; otherwise it is a request.
        plain_units: Units charged for a request that doesn't state its tokens.
    """

    rate: float
    burst: float
    in_tokens: bool = False
    plain_units: int = 1

    def cost(self, tokens: int | None) -> int:
        """Return the units of a request.

        Args:
            tokens: Tokens of its prompt and its longest answer; None if not stated.
        """
        if not self.in_tokens:
            return 1
        return self.plain_units if tokens is None else tokens


class Organisation(Struct, frozen=True):
    """A group of callers that share permissions, limits and metrics.

    Attributes:
        name: Name of the organisation.
        priority: Rank of its requests, which overrides the route's; None to use that.
        home_regions: Regions that may serve it; empty for all.
        quota: Limit of its use; None for no limit.
    """

    name: OrganisationName
    priority: int | None = None
    home_regions: tuple[RegionName, ...] = ()
    quota: Quota | None = None


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest by which an API key is looked up."""
    return KeyDigest(blake2b(key, digest_size=DIGEST_SIZE).hexdigest())


def shown_digest(digest: KeyDigest | None) -> str | None:
    """Return the part of a digest that log lines show; None without a key."""
    return digest[:SHOWN_DIGITS] if digest is not None else None
