"""Headers of the answers that callers get."""

from bronzepoint_node.entry._call import end_to_end
from bronzepoint_schema.ids import HostName, RegionName, RequestId

REQUEST_ID_HEADER = "Bronzepoint-Request-Id"
HOST_HEADER = "Bronzepoint-Host"
REGION_HEADER = "Bronzepoint-Region"
REPLAYED_HEADER = "Bronzepoint-Replayed"
ECHO_HEADER = "X-Request-Id"
LEAVING_HEADER = "x-leaving"
NOT_FOR_CALLERS = frozenset({"x-request-id", LEAVING_HEADER})


def own_headers(
    request_id: RequestId, host: HostName, region: RegionName
) -> dict[str, str]:
    """Return the headers that each answer of a call carries.

    Args:
        request_id: Identifier of the request.
        host: The host that the caller asked.
        region: Region that served the request, or refused it.
    """
    return {REQUEST_ID_HEADER: request_id, HOST_HEADER: host, REGION_HEADER: region}


def passed_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the target's headers that are passed on to the caller."""
    passed = {
        name: value
        for name, value in end_to_end(headers).items()
        if name not in NOT_FOR_CALLERS
    }
    replayed = headers.get(REPLAYED_HEADER.lower())
    if replayed is not None:
        passed[REPLAYED_HEADER] = replayed
    return passed
