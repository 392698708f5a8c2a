"""The targets of this host's region: load, leaving, ejection, cached prefixes."""

from bronzepoint_node.targets._targets import Targets

__all__ = ["Targets"]
