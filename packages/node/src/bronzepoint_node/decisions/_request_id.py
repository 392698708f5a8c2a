"""Request identifiers, which contain the location of the decision record."""

import re
from typing import NamedTuple

import uuid_utils

from bronzepoint_node.decisions._errors import BadRequestId
from bronzepoint_schema.ids import HostName, RegionName, RequestId

SLOT_BITS = 16
"""Low bits of the time in ms that a slot ignores. The backup host changes with each
slot, every 2**16 ms or about a minute."""
_TIME_HEX_DIGITS = 12
"""Leading hex digits of a UUIDv7 that hold its time in milliseconds."""
_PATTERN = re.compile(r"([^\s./]{1,64})\.([^\s./]{1,64})\.([0-9a-f]{32})")


class RequestIdParts(NamedTuple):
    """The parts of a request identifier.

    Attributes:
        host: The host that received the request from the caller.
        region: The host's region. It is part of the identifier since the backups are
            hosts of this region, and the membership soon forgets a replaced host.
        slot: The time slot in which the request arrived, which selects the backup.
    """

    host: HostName
    region: RegionName
    slot: int


def new_request_id(host: HostName, region: RegionName) -> RequestId:
    """Return a new identifier for a request that a host receives now."""
    return RequestId(f"{host}.{region}.{uuid_utils.uuid7().hex}")


def parse_request_id(text: str) -> RequestIdParts:
    """Return the parts of a request identifier.

    Raises:
        BadRequestId: The text is not a valid identifier.
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise BadRequestId(text)
    host, region, unique = match.groups()
    slot = int(unique[:_TIME_HEX_DIGITS], 16) >> SLOT_BITS
    return RequestIdParts(HostName(host), RegionName(region), slot)
