"""Addresses to listen on that are reserved for this process."""

from bronzepoint_emulator.deployment import PortBlock

_blocks = []


def free_address() -> str:
    """Return ``host:port`` from a block of ports reserved until this process ends."""
    if _blocks:
        try:
            return _blocks[-1].address()
        except RuntimeError:
            pass
    block = PortBlock()
    block.start()
    _blocks.append(block)
    return block.address()
