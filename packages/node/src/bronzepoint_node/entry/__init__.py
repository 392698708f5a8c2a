"""The request path: HTTP requests, routing decisions, dispatch and responses."""

from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._gateway import Gateway, GatewayState
from bronzepoint_node.entry._refusals import RequestRefused, refused

__all__ = ["Dependencies", "GatewayState", "Gateway", "RequestRefused", "refused"]
