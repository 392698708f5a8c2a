"""Selection of the hosts that callers should connect to."""

from bronzepoint_node.directory._directory import Directory
from bronzepoint_node.directory._host_weights import hosts_by_capacity
from bronzepoint_node.directory._hosts_for_callers import hosts_for_callers

__all__ = ["Directory", "hosts_by_capacity", "hosts_for_callers"]
