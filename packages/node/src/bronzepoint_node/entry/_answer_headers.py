"""Headers of the responses that callers get."""

from bronzepoint_node.entry._call import end_to_end_headers
from bronzepoint_schema.ids import HostName, RegionName, RequestId

REQUEST_ID_HEADER = "Bronzepoint-Request-Id"
HOST_HEADER = "Bronzepoint-Host"
REGION_HEADER = "Bronzepoint-Region"
REPLAYED_HEADER = "Bronzepoint-Replayed"
ECHO_HEADER = "X-Request-Id"
LEAVING_HEADER = "x-leaving"
"""Response header of a target that is leaving and takes no new requests."""
REMOVED_RESPONSE_HEADERS = frozenset({"x-request-id", LEAVING_HEADER})
"""Headers of a target's response that are removed before it reaches the caller."""


def gateway_headers(
    request_id: RequestId, host: HostName, region: RegionName
) -> dict[str, str]:
    """Return the gateway's headers, which are part of every response to a call.

    Args:
        request_id: Identifier of the request.
        host: The host that received the request from the caller.
        region: Region that served or refused the request.
    """
    return {REQUEST_ID_HEADER: request_id, HOST_HEADER: host, REGION_HEADER: region}


def headers_for_caller(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a target's response that the caller gets."""
    result = {
        name: value
        for name, value in end_to_end_headers(headers).items()
        if name not in REMOVED_RESPONSE_HEADERS
    }
    replayed = headers.get(REPLAYED_HEADER.lower())
    if replayed is not None:
        result[REPLAYED_HEADER] = replayed
    return result
