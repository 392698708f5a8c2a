"""What a host tells another one with a request that it forwards."""

import base64
import binascii
import hashlib
import hmac

import msgspec
from msgspec import Struct, field

from bronzepoint_common.http import Request
from bronzepoint_common.tokens import Caller
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._refusals import refused
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import HostName, RegionName, RequestId, Revision

FORWARD_HEADER = "Bronzepoint-Forward"
MAX_VISITED = 2
"""Hosts that may have handled a request before the one that gets it: the one that
the caller asked, and one of the caller's home region."""
MAC_SIZE = 16


class VisitedHost(Struct, array_like=True, frozen=True):
    """A host that has handled the request, and its region."""

    host: HostName
    region: RegionName


class ForwardContext(Struct, array_like=True):
    """The request's way so far, and what was decided about it.

    Attributes:
        request_id: Identifier that all hosts use for the request.
        caller: Who sent it; the forwarding host has checked the token.
        visited: Hosts that have handled it, in order.
        deadline_left: Seconds left when it was forwarded.
        revision: Catalogue revision that the forwarding host decided on.
        allowed: Regions that the forwarding host's view allows; None: all.
        final: True: it is served in the receiving region or refused; False: it came
            for its run-once record and may go to one more region.
        claimed: True: the sender holds the claim on the idempotency key.
        digest: Digest of the call that it belongs to.
    """

    request_id: RequestId
    caller: Caller
    visited: list[VisitedHost]
    deadline_left: float
    revision: Revision
    allowed: list[RegionName] | None = None
    final: bool = True
    claimed: bool = False
    digest: bytes = field(default=b"")


def encode_context(context: ForwardContext, key: bytes) -> str:
    """Return a header value that only a holder of the cluster key can make."""
    data = msgspec.msgpack.encode(context)
    return base64.b64encode(_mac(data, key) + data).decode("ascii")


def decode_context(text: str, key: bytes) -> ForwardContext:
    """Read a header value; refuses one that no host of the system has made."""
    try:
        raw = base64.b64decode(text, validate=True)
        mac, data = raw[:MAC_SIZE], raw[MAC_SIZE:]
        if hmac.compare_digest(mac, _mac(data, key)):
            return msgspec.msgpack.decode(data, type=ForwardContext)
    except (binascii.Error, ValueError, msgspec.DecodeError):
        pass
    raise refused(
        RefusalKind.unauthenticated,
        f"Header {FORWARD_HEADER} was not made with this cluster's key.",
        "Leave it out as a caller; on hosts, set the same [cluster] key everywhere.",
    )


def context_of(request: Request, identity: Identity) -> ForwardContext | None:
    """Return what the forwarding host says; None: it comes from its caller.

    Raises:
        RequestRefused: No host of the system made it, or it has been here before.
    """
    text = request.headers.get(FORWARD_HEADER.lower())
    if text is None:
        return None
    context = decode_context(text, identity.key)
    check_no_loop(context, identity.host, identity.region)
    return context


def check_no_loop(context: ForwardContext, host: HostName, region: RegionName) -> None:
    """Refuse a request that has been here, or that has been passed on too often.

    Views of the catalogue and of the load differ between hosts. Two hosts that each
    think the other better placed would pass a request to and fro until its deadline,
    each time as new work; the list of visited hosts travels with it, so the second
    visit is seen at once.
    """
    been_here = any(
        visit.host == host or visit.region == region for visit in context.visited
    )
    if not been_here and 0 < len(context.visited) <= MAX_VISITED:
        return
    way = " - ".join(f"{visit.host} ({visit.region})" for visit in context.visited)
    raise refused(
        RefusalKind.loop_detected,
        f"Forwarded to {host} ({region}) after {way}.",
        "Ask a host of a region that may serve the entry; report it if it lasts.",
        retry_after=1.0,
    )


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(
        data, key=key, digest_size=MAC_SIZE, person=b"bp-forward"
    ).digest()
