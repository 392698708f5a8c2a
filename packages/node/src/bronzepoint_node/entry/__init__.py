"""The request path: HTTP requests, routing decisions, dispatch and responses."""

from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._gateway import EntryState, Gateway
from bronzepoint_node.entry._refusals import RequestRefused, refused

__all__ = ["Dependencies", "EntryState", "Gateway", "RequestRefused", "refused"]
