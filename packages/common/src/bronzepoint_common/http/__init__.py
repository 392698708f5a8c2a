"""HTTP/1.1 over curio sockets, both sides, with h11 as the protocol library."""

from bronzepoint_common.http._address import format_address, parse_address
from bronzepoint_common.http._answer import Answer, ClientAnswer, Framing
from bronzepoint_common.http._client import HttpClient, Unframed
from bronzepoint_common.http._client_memory import ClientMemory, client_memory
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
    MemoryExhausted,
    NotSent,
    RequestTimeout,
    TooManyConnections,
)
from bronzepoint_common.http._exchange import Exchange
from bronzepoint_common.http._limits import HttpLimits
from bronzepoint_common.http._request import Request
from bronzepoint_common.http._server import Handler, HttpServer

__all__ = [
    "Answer",
    "AnswerCut",
    "AnswerMalformed",
    "AnswerTimeout",
    "BadAddress",
    "BadRequest",
    "BodyTooLarge",
    "ClientAnswer",
    "ClientMemory",
    "ConnectFailed",
    "Disconnected",
    "Exchange",
    "Framing",
    "Handler",
    "HandlerFailed",
    "HeadTooLarge",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "MemoryExhausted",
    "NotSent",
    "Request",
    "RequestTimeout",
    "TooManyConnections",
    "Unframed",
    "client_memory",
    "format_address",
    "parse_address",
]
