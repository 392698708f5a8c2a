"""Blocks of a prompt, as engines cache them.

Engines identify cached blocks by these chained hashes in their cache events; a host
computes the same hashes to find out how much of a prompt each engine has cached.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import xxhash

BLOCK_CHARACTERS = 64
CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN


def prompt_text(messages: Iterable[Mapping[str, Any]]) -> str:
    """Return the messages of a chat request as one text."""
    return "".join(
        f"{message.get('role', '')}\n{message.get('content', '')}\n"
        for message in messages
    )


def prompt_tokens(text: str) -> int:
    """Return the estimated number of tokens of a prompt."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def block_hashes(text: str) -> list[str]:
    """Return the chained hash of each full block, 16 hex digits each.

    Each hash also covers all preceding blocks, so equal hashes mean equal prefixes.
    """
    hashes: list[str] = []
    previous = ""
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS]
        previous = xxhash.xxh64_hexdigest((previous + block).encode())
        hashes.append(previous)
    return hashes
