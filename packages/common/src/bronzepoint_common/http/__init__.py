"""HTTP/1.1 over curio sockets, both sides, with h11 as the protocol library."""

from bronzepoint_common.http._address import format_address, parse_address
from bronzepoint_common.http._answer import Answer, ClientAnswer, Framing
from bronzepoint_common.http._client import HttpClient, Unframed
from bronzepoint_common.http._errors import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
    BadAddress,
    BadRequest,
    BodyTooLarge,
    ConnectFailed,
    Disconnected,
    HandlerFailed,
    HeadTooLarge,
    HttpError,
    NotSent,
    RequestTimeout,
    TooManyConnections,
)
from bronzepoint_common.http._exchange import Exchange
from bronzepoint_common.http._limits import HttpLimits
from bronzepoint_common.http._request import Request
from bronzepoint_common.http._server import HttpServer

__all__ = [
    "Answer",
    "AnswerCut",
    "AnswerMalformed",
    "AnswerTimeout",
    "BadAddress",
    "BadRequest",
    "BodyTooLarge",
    "ClientAnswer",
    "ConnectFailed",
    "Disconnected",
    "Exchange",
    "Framing",
    "HandlerFailed",
    "HeadTooLarge",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "NotSent",
    "Request",
    "RequestTimeout",
    "TooManyConnections",
    "Unframed",
    "format_address",
    "parse_address",
]
