"""The request path: HTTP requests, routing decisions, dispatch and responses."""

from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._gateway import EntryState, Gateway
from bronzepoint_node.entry._refusals import RequestRefused, refused

__all__ = ["Collaborators", "EntryState", "Gateway", "RequestRefused", "refused"]
