"""Addresses to listen on that no other process of this machine takes meanwhile."""

from bronzepoint_emulator.deployment import PortBlock

_blocks = []


def free_address() -> str:
    """Return ``host:port`` of a block that is held until this process ends."""
    if _blocks:
        try:
            return _blocks[-1].address()
        except RuntimeError:
            pass
    block = PortBlock()
    block.start()
    _blocks.append(block)
    return block.address()
