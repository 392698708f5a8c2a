"""Request identifiers that say where the record of the decision is kept."""

import re
from typing import NamedTuple

import uuid_utils

from bronzepoint_node.decisions._errors import BadRequestId
from bronzepoint_schema.ids import HostName, RegionName, RequestId

SLOT_BITS = 16
"""The backup host changes every 2**16 ms: a little over a minute."""
_TIME_HEX_DIGITS = 12
_PATTERN = re.compile(r"([^\s./]{1,64})\.([^\s./]{1,64})\.([0-9a-f]{32})")


class RequestIdParts(NamedTuple):
    """What an identifier says.

    Attributes:
        host: The host that took the request.
        region: Its region. It stands in the identifier because the backups are found
            among the region's hosts, and a host that was replaced is soon forgotten.
        slot: The interval in which the request arrived, which selects the backup.
    """

    host: HostName
    region: RegionName
    slot: int


def new_request_id(host: HostName, region: RegionName) -> RequestId:
    """Return a new identifier for a request that this host takes."""
    return RequestId(f"{host}.{region}.{uuid_utils.uuid7().hex}")


def parse_request_id(text: str) -> RequestIdParts:
    """Return what an identifier says.

    Raises:
        BadRequestId: The text is not an identifier.
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise BadRequestId(text)
    host, region, unique = match.groups()
    slot = int(unique[:_TIME_HEX_DIGITS], 16) >> SLOT_BITS
    return RequestIdParts(HostName(host), RegionName(region), slot)
