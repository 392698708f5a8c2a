"""Token usage as stated in a response."""

import msgspec
from msgspec import Struct, field


class _Usage(Struct):
    completion_tokens: int = 0


class _Answer(Struct):
    usage: _Usage = field(default_factory=_Usage)


def completion_tokens(content_type: str, body: bytes) -> int:
    """Return the number of generated tokens stated in a response; 0: not stated."""
    if not content_type.startswith("application/json"):
        return 0
    try:
        return msgspec.json.decode(body, type=_Answer).usage.completion_tokens
    except msgspec.DecodeError:
        return 0
