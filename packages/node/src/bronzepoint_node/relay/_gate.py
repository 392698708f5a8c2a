"""Whose request it is, and whether a host may call something unknown."""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from urllib.parse import quote, unquote

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    Follower,
    Organisation,
    ServedCatalogue,
    ServedRoute,
)
from bronzepoint_schema.ids import OrganisationName

from ._call import Call
from ._codec import CallerHead
from ._host_headers import ORGANISATION_HEADER

CONFIRMED_WITHIN = 1.0
"""Seconds within which a host must have heard what is in force before it calls a key
or a route unknown: a newer version may have added it."""
CONFIRM_WAIT = 0.8
"""Seconds for which a request with an unknown key or route waits for that,"""
CONFIRM_WAIT_SHARE = 0.25
"""but no more than this part of its deadline."""
CONFIRM_STEP = 0.03
"""Seconds between two looks."""
SIGNATURE_SIZE = 16
"""Bytes of the signature by which a host vouches for an organisation."""


@dataclass(frozen=True)
class Admitted:
    """The request may be served.

    Attributes:
        organisation: Who asks; None: the route is open to anybody.
    """

    organisation: Organisation | None


@dataclass(frozen=True)
class Unknown:
    """Its key isn't that of any organisation."""


@dataclass(frozen=True)
class Unconfirmed:
    """Its key isn't known here, but this host may lag behind."""


Identity = Admitted | Unknown | Unconfirmed


class Gate:
    """Looks up callers' API keys, and believes hosts that forward a request.

    Args:
        follower: Knows the catalogue in force.
        secret: Key that all hosts share; they vouch to each other with it.
    """

    def __init__(self, follower: Follower, secret: bytes) -> None:
        self._follower = follower
        self._secret = secret

    async def identify(
        self,
        head: CallerHead,
        route: ServedRoute,
        catalogue: ServedCatalogue,
        wait: float,
    ) -> Identity:
        """Tell who a caller is.

        Args:
            head: Its request.
            route: The route that it takes.
            catalogue: What is in force.
            wait: Seconds until the request's deadline.
        """
        if catalogue.organisations is None:
            return Admitted(None)
        found = catalogue.keys.get(head.key) if head.key is not None else None
        if found is not None or route.is_open:
            return Admitted(found)
        if head.key is None:
            return Unknown()
        return await self._look_again(head, wait)

    async def confirm(self, wait: float) -> bool:
        """Wait until what is in force has been confirmed; False: it wasn't in time.

        The follower asks the core all the time, so that unknown keys and routes, how
        many there may be, cause no question.

        Args:
            wait: Seconds until the request's deadline.
        """
        until = monotonic() + min(CONFIRM_WAIT, CONFIRM_WAIT_SHARE * wait)
        while self._follower.confirmed_age() > CONFIRMED_WITHIN:
            if monotonic() >= until:
                return False
            await curio.sleep(CONFIRM_STEP)
        return True

    async def _look_again(self, head: CallerHead, wait: float) -> Identity:
        """Look up a key once more when what is in force has been confirmed."""
        if not await self.confirm(wait):
            return Unconfirmed()
        found = self._follower.catalogue.keys.get(head.key)
        return Admitted(found) if found is not None else Unknown()

    def identify_forwarded(
        self,
        head: CallerHead,
        route: ServedRoute,
        catalogue: ServedCatalogue,
        headers: Mapping[str, str],
    ) -> Identity:
        """Tell whose request another host has sent on."""
        text = headers.get(ORGANISATION_HEADER)
        if text is None:
            return Unknown() if catalogue.needs_key(route) else Admitted(None)
        told, _, version = text.partition(" ")
        version, _, signature = version.partition(" ")
        if not compare_digest(signature, self._sign(head, told, version)):
            return Unknown()
        name = OrganisationName(unquote(told))
        known = (catalogue.organisations or {}).get(name)
        if known is not None:
            return Admitted(known)
        if version.isdigit() and int(version) > catalogue.version:
            # The other host has heard of it before this one.
            return Admitted(Organisation(name))
        return Unknown()

    def vouch(self, call: Call) -> dict[str, str]:
        """Return the header that tells another host who asks."""
        if call.organisation is None:
            return {}
        told, version = quote(call.organisation.name, safe=""), str(call.version)
        signature = self._sign(call.head, told, version)
        return {ORGANISATION_HEADER: f"{told} {version} {signature}"}

    def still_admits(self, call: Call) -> bool:
        """Tell whether a newer version than that it was read by serves it, too.

        A key may be taken away, or go to another organisation, while its request waits.
        """
        catalogue = self._follower.catalogue
        if catalogue is None or catalogue.version <= call.version:
            return True
        call.version = catalogue.version
        if catalogue.organisations is None:
            call.organisation = None
            return True
        if call.forwarded:
            found = self._still_there(call.organisation, catalogue)
        else:
            found = catalogue.keys.get(call.head.key) if call.head.key else None
        call.organisation = found
        return found is not None or not catalogue.needs_key(call.route)

    def _still_there(
        self, organisation: Organisation | None, catalogue: ServedCatalogue
    ) -> Organisation | None:
        if organisation is None:
            return None
        return catalogue.organisations.get(organisation.name)

    def _sign(self, head: CallerHead, told: str, version: str) -> str:
        text = f"{head.request_id}\n{told}\n{version}".encode()
        digest = blake2b(text, key=self._secret, digest_size=SIGNATURE_SIZE)
        return digest.hexdigest()
