"""Which hosts a caller should use."""

from bronzepoint_node.directory._directory import Directory

__all__ = ["Directory"]
