"""Authenticates callers, and confirms the catalogue before rejecting unknown keys."""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from urllib.parse import quote, unquote

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    Organisation,
    ServedCatalogue,
    ServedRoute,
    SyncClient,
)
from bronzepoint_schema.ids import OrganisationName

from ._call import Call
from ._codec import CallerHead
from ._host_headers import ORGANISATION_HEADER

CONFIRMED_WITHIN = 1.0
"""Maximum seconds since the catalogue was confirmed as current for a key or a route to
be rejected as unknown: a newer version may have added it."""
CONFIRM_WAIT = 0.8
"""Maximum seconds that a request with an unknown key or route waits for the catalogue
to be confirmed."""
CONFIRM_WAIT_SHARE = 0.25
"""Maximum part of the request's deadline that is spent on this wait."""
CONFIRM_STEP = 0.03
"""Seconds between two checks during this wait."""
SIGNATURE_SIZE = 16
"""Size in bytes of the signature of an organisation header."""


@dataclass(frozen=True)
class Authenticated:
    """The request may be served.

    Attributes:
        organisation: Organisation of the caller; None: no key is required.
    """

    organisation: Organisation | None


@dataclass(frozen=True)
class UnknownKey:
    """The key belongs to no organisation."""


@dataclass(frozen=True)
class UnconfirmedKey:
    """The key is unknown, but this host's catalogue may be outdated."""


Authentication = Authenticated | UnknownKey | UnconfirmedKey


class Authenticator:
    """Authenticates callers by API key, and forwarded requests by signature.

    Args:
        sync_client: Source of the current catalogue.
        secret: Key shared by all hosts, which signs organisation headers.
    """

    def __init__(self, sync_client: SyncClient, secret: bytes) -> None:
        self._sync_client = sync_client
        self._secret = secret

    async def authenticate(
        self,
        head: CallerHead,
        route: ServedRoute,
        catalogue: ServedCatalogue,
        time_left: float,
    ) -> Authentication:
        """Authenticate a caller by its API key.

        Args:
            head: The request.
            route: Route that the request matched.
            catalogue: Current catalogue.
            time_left: Seconds until the request's deadline.
        """
        if catalogue.organisations is None:
            return Authenticated(None)
        found = catalogue.keys.get(head.key) if head.key is not None else None
        if found is not None or route.is_open:
            return Authenticated(found)
        if head.key is None:
            return UnknownKey()
        return await self._authenticate_once_confirmed(head, time_left)

    async def wait_until_confirmed(self, time_left: float) -> bool:
        """Wait until the catalogue is confirmed as current; False: not in time.

        Sends nothing: the sync client polls the core continuously, so any number of
        unknown keys and routes causes no extra requests to it.

        Args:
            time_left: Seconds until the request's deadline.
        """
        until = monotonic() + min(CONFIRM_WAIT, CONFIRM_WAIT_SHARE * time_left)
        while self._sync_client.confirmed_age() > CONFIRMED_WITHIN:
            if monotonic() >= until:
                return False
            await curio.sleep(CONFIRM_STEP)
        return True

    async def _authenticate_once_confirmed(
        self, head: CallerHead, time_left: float
    ) -> Authentication:
        """Look up a key again once the catalogue is confirmed as current."""
        if not await self.wait_until_confirmed(time_left):
            return UnconfirmedKey()
        found = self._sync_client.catalogue.keys.get(head.key)
        return Authenticated(found) if found is not None else UnknownKey()

    def authenticate_forwarded(
        self,
        head: CallerHead,
        route: ServedRoute,
        catalogue: ServedCatalogue,
        headers: Mapping[str, str],
    ) -> Authentication:
        """Authenticate a forwarded request by its signed organisation header."""
        text = headers.get(ORGANISATION_HEADER)
        if text is None:
            return UnknownKey() if catalogue.needs_key(route) else Authenticated(None)
        quoted_name, _, version = text.partition(" ")
        version, _, signature = version.partition(" ")
        if not compare_digest(signature, self._sign(head, quoted_name, version)):
            return UnknownKey()
        name = OrganisationName(unquote(quoted_name))
        known = (catalogue.organisations or {}).get(name)
        if known is not None:
            return Authenticated(known)
        if version.isdigit() and int(version) > catalogue.version:
            # The other host has a newer catalogue than this one.
            return Authenticated(Organisation(name))
        return UnknownKey()

    def organisation_header(self, call: Call) -> dict[str, str]:
        """Return the signed header that names the organisation to another host."""
        if call.organisation is None:
            return {}
        quoted_name, version = quote(call.organisation.name, safe=""), str(call.version)
        signature = self._sign(call.head, quoted_name, version)
        return {ORGANISATION_HEADER: f"{quoted_name} {version} {signature}"}

    def still_admits(self, call: Call) -> bool:
        """Return whether the current catalogue still admits the request.

        A key may be revoked or moved to another organisation while its request waits.
        Updates the request's organisation and catalogue version.
        """
        catalogue = self._sync_client.catalogue
        if catalogue is None or catalogue.version <= call.version:
            return True
        call.version, call.ranks = catalogue.version, catalogue.ranks
        if catalogue.organisations is None:
            call.organisation = None
            return True
        if call.forwarded:
            found = self._current_organisation(call.organisation, catalogue)
        else:
            found = catalogue.keys.get(call.head.key) if call.head.key else None
        call.organisation = found
        return found is not None or not catalogue.needs_key(call.route)

    def _current_organisation(
        self, organisation: Organisation | None, catalogue: ServedCatalogue
    ) -> Organisation | None:
        if organisation is None:
            return None
        return catalogue.organisations.get(organisation.name)

    def _sign(self, head: CallerHead, quoted_name: str, version: str) -> str:
        text = f"{head.request_id}\n{quoted_name}\n{version}".encode()
        digest = blake2b(text, key=self._secret, digest_size=SIGNATURE_SIZE)
        return digest.hexdigest()
