"""Addresses written as ``host:port``, where the host is an IP address."""

import ipaddress

MAX_PORT = 65535
_PORT_DIGITS = 5


class AddressError(ValueError):
    """A text is not an IP address and a port."""


def split_address(text: str) -> tuple[str, int]:
    """Split ``127.0.0.1:8080`` or ``[::1]:8080`` into host and port.

    Port 0 is accepted: a listening socket may use it to get any free port.

    Raises:
        AddressError: The text is not an address; the message names the remedy.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise AddressError(f"{text!r} has no port; write it as 10.0.0.1:8080")
    bracketed = host.startswith("[") and host.endswith("]")
    if bracketed:
        host = host[1:-1]
    elif ":" in host:
        raise AddressError(f"{text!r}: put an IPv6 address in brackets, [::1]:8080")
    try:
        version = ipaddress.ip_address(host).version
    except ValueError:
        raise AddressError(
            f"{host!r} is not an IP number; host names are not resolved, "
            "write it as 10.0.0.1:8080"
        ) from None
    if bracketed and version != 6:
        raise AddressError(
            f"{text!r}: only an IPv6 address has brackets; leave them out"
        )
    # isdecimal alone would accept digits of other scripts.
    digits = port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS
    if not (digits and int(port) <= MAX_PORT):
        raise AddressError(f"{port!r} is not a port; use a number up to {MAX_PORT}")
    return host, int(port)


__all__ = ["AddressError", "split_address"]
