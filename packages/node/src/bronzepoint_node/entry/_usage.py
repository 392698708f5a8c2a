"""Tokens that an answer says it took."""

import msgspec
from msgspec import Struct, field


class _Usage(Struct):
    completion_tokens: int = 0


class _Answer(Struct):
    usage: _Usage = field(default_factory=_Usage)


def completion_tokens(content_type: str, body: bytes) -> int:
    """Return the generated tokens that a whole answer states; 0 where it doesn't."""
    if not content_type.startswith("application/json"):
        return 0
    try:
        return msgspec.json.decode(body, type=_Answer).usage.completion_tokens
    except msgspec.DecodeError:
        return 0
