"""Signed context that a host sends along with a request that it forwards."""

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
"""Hosts that may have handled a request before it reaches the next one: the host that
received it from the caller, and a host of the caller's home region."""
MAC_SIZE = 16
"""Bytes of the message authentication code."""


class VisitedHost(Struct, array_like=True, frozen=True):
    """A host that has handled the request, and its region."""

    host: HostName
    region: RegionName


class ForwardContext(Struct, array_like=True):
    """The hosts that have handled a request so far, and their decisions.

    Attributes:
        request_id: Identifier that all hosts use for the request.
        caller: The caller; the forwarding host has verified its token.
        visited: Hosts that have handled the request, in order.
        deadline_left: Seconds left until the deadline when it was forwarded.
        revision: Catalogue revision on which the forwarding host based its decision.
        allowed: Regions that the forwarding host's view allows; None: all.
        final: True: the receiving region serves or refuses the request; False: the
            request was forwarded for its run-once record, and the receiving region
            may forward it once more.
        claimed: True: the sender holds the claim on the idempotency key.
        digest: Digest of the call that the context belongs to.
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
    """Return a context as a header value that is signed with the cluster key."""
    data = msgspec.msgpack.encode(context)
    return base64.b64encode(_mac(data, key) + data).decode("ascii")


def decode_context(text: str, key: bytes) -> ForwardContext:
    """Verify and decode a header value.

    Raises:
        RequestRefused: The value is malformed or not signed with the cluster key.
    """
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
    """Return the forward context of a request; None: it comes from its caller.

    Raises:
        RequestRefused: The context is not signed with the cluster key, or the request
            was forwarded in a loop.
    """
    text = request.headers.get(FORWARD_HEADER.lower())
    if text is None:
        return None
    context = decode_context(text, identity.key)
    check_no_loop(context, identity.host, identity.region)
    return context


def check_no_loop(context: ForwardContext, host: HostName, region: RegionName) -> None:
    """Refuse a request that was handled here before, or forwarded too often.

    Hosts may have different views of the catalogue and of the load. Two hosts that each
    prefer the other's region would forward a request back and forth until its
    deadline, each time as a new request. The list of visited hosts is forwarded with
    the request, so that the second visit is detected at once.

    Raises:
        RequestRefused: The request was forwarded in a loop.
    """
    visited_before = any(
        visit.host == host or visit.region == region for visit in context.visited
    )
    if not visited_before and 0 < len(context.visited) <= MAX_VISITED:
        return
    visited_path = " - ".join(
        f"{visit.host} ({visit.region})" for visit in context.visited
    )
    raise refused(
        RefusalKind.loop_detected,
        f"Forwarded to {host} ({region}) after {visited_path}.",
        "Ask a host of a region that may serve the entry; report it if it lasts.",
        retry_after=1.0,
    )


def _mac(data: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(
        data, key=key, digest_size=MAC_SIZE, person=b"bp-forward"
    ).digest()
