"""The request path: HTTP calls to decisions, dispatch and answers."""

from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._gateway import EntryState, Gateway
from bronzepoint_node.entry._refusals import RequestRefused, refused

__all__ = ["Collaborators", "EntryState", "Gateway", "RequestRefused", "refused"]
