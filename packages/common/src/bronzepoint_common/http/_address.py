"""Addresses as ``host:port``."""

from bronzepoint_common.http._errors import BadAddress

MAX_PORT = 65535


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raises BadAddress."""
    host, colon, port = address.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise BadAddress(address)
    if int(port) > MAX_PORT:
        raise BadAddress(address)
    return host.strip("[]"), int(port)


def format_address(host: str, port: int) -> str:
    """Join a host and a port; IPv6 hosts get brackets."""
    if ":" in host:
        return f"[{host}]:{port}"
    return f"{host}:{port}"
