"""Parses and formats addresses written as ``host:port``."""

from bronzepoint_common.http._errors import BadAddress
from bronzepoint_common.settings import AddressError, split_address


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raises BadAddress."""
    try:
        return split_address(address)
    except AddressError as exc:
        raise BadAddress(str(exc)) from exc


def format_address(host: str, port: int) -> str:
    """Join a host and a port; IPv6 hosts get brackets."""
    if ":" in host:
        return f"[{host}]:{port}"
    return f"{host}:{port}"
