"""Bearer tokens of callers and operators, kept as keyed digests."""

import hashlib

import msgspec

from bronzepoint_common.settings import cluster_key
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import CallerName, OperatorName, OwnerName, RegionName

SCHEME = "bearer "


class Caller(msgspec.Struct, frozen=True):
    """The caller that a bearer token belongs to."""

    name: CallerName
    owner: OwnerName
    home: RegionName


class Operator(msgspec.Struct, frozen=True):
    """The operator that a bearer token belongs to."""

    name: OperatorName


class Tokens:
    """Finds the holder of a bearer token.

    Tokens are looked up by a digest keyed with the cluster key: the time of a lookup
    reveals nothing about a nearly correct token, and a dump of the table contains no
    token.
    """

    def __init__(self, settings: Settings) -> None:
        self._key = cluster_key(settings)
        self._callers = {
            self._digest(section.token): Caller(
                CallerName(name), section.owner, section.home
            )
            for name, section in settings.callers.items()
        }
        self._operators = {
            self._digest(section.token): Operator(OperatorName(name))
            for name, section in settings.operators.items()
        }

    def caller(self, authorization: str) -> Caller | None:
        """Return the caller whose token is in an Authorization header."""
        return self._callers.get(self._digest(bearer_token(authorization)))

    def operator(self, authorization: str) -> Operator | None:
        """Return the operator whose token is in an Authorization header."""
        return self._operators.get(self._digest(bearer_token(authorization)))

    def _digest(self, token: str) -> bytes:
        data = token.encode("utf-8", "surrogateescape")
        return hashlib.blake2b(data, key=self._key, digest_size=32).digest()


def bearer_token(authorization: str) -> str:
    """Return the bearer token of an Authorization header; empty if there is none."""
    if authorization[: len(SCHEME)].lower() != SCHEME:
        return ""
    return authorization[len(SCHEME) :].strip()


__all__ = ["Caller", "Operator", "Tokens", "bearer_token"]
