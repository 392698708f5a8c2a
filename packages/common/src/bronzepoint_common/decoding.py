"""Decoding of JSON that other programs write."""

from typing import Any

import msgspec

MAX_INTEGER = 2**53 - 1
"""Largest integer that every JSON program reads exactly. Larger ones could also become
too large for the 64 bits of an integer in a message between hosts."""


class Undecodable(Exception):
    """The data isn't JSON of the expected type; the message says why."""


def decode(decoder: msgspec.json.Decoder, data: bytes | msgspec.Raw) -> Any:
    """Return decoded data.

    Raises:
        Undecodable: It has invalid bytes, another type or too many nested levels.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise Undecodable(str(exc)) from exc


__all__ = ["MAX_INTEGER", "Undecodable", "decode"]
