"""A plain blocking HTTP client for tests and the harness."""

import http.client
import json
import uuid
from collections.abc import Iterator
from typing import Any, Self

import uuid_utils
from msgspec import Struct, field

DEFAULT_TIMEOUT = 30.0
"""Seconds for each connect and read, by default."""
READ_SIZE = 65536
"""Maximum bytes of one read."""
EVENT_PREFIX = b"data:"


class Reply(Struct):
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)

    @property
    def request_id(self) -> str:
        """Identifier that the gateway assigned to the request."""
        return self.headers.get("bronzepoint-request-id", "")

    @property
    def refusal(self) -> dict[str, Any]:
        """The typed refusal of an error answer."""
        return self.json()["error"]


class ReplyStream:
    """A streamed answer, read event by event; a context manager."""

    def __init__(
        self, connection: http.client.HTTPConnection, answer: http.client.HTTPResponse
    ) -> None:
        self._connection = connection
        self._answer = answer
        self.status = answer.status
        self.headers = {name.lower(): value for name, value in answer.getheaders()}

    @property
    def request_id(self) -> str:
        """Identifier that the gateway assigned to the request."""
        return self.headers.get("bronzepoint-request-id", "")

    def read(self) -> bytes:
        """Return the rest of the body.

        Raises:
            http.client.IncompleteRead: The answer was truncated.
        """
        try:
            return self._answer.read()
        except ConnectionResetError as exc:
            raise http.client.IncompleteRead(b"") from exc

    def events(self) -> Iterator[str]:
        """Yield the data of each server-sent event.

        Raises:
            http.client.IncompleteRead: The answer was truncated.
        """
        pending = b""
        # Not readline(): it treats a connection closed between two chunks as the end of
        # the answer, so that a truncated stream would look complete.
        while data := self._read_some():
            *lines, pending = (pending + data).split(b"\n")
            for line in lines:
                if line.startswith(EVENT_PREFIX):
                    yield line.removeprefix(EVENT_PREFIX).strip().decode()

    def _read_some(self) -> bytes:
        try:
            return self._answer.read1(READ_SIZE)
        except ConnectionResetError as exc:
            raise http.client.IncompleteRead(b"") from exc

    def close(self) -> None:
        """Close the connection, which cancels the request."""
        self._answer.close()
        self._connection.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *error: object) -> None:
        self.close()


class Client:
    """Sends each request over a connection of its own.

    Args:
        address: ``host:port``.
        token: Bearer token; none is sent if empty.
        timeout: Seconds for each connect and read.
    """

    def __init__(
        self, address: str, token: str = "", timeout: float = DEFAULT_TIMEOUT
    ) -> None:
        self.address = address
        self.token = token
        self.timeout = timeout

    def open(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> ReplyStream:
        """Send a request and return the answer without reading its body."""
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=self.timeout)
        try:
            connection.request(
                method, path, _encode(body), self._headers(body, headers or {})
            )
            return ReplyStream(connection, connection.getresponse())
        except BaseException:
            connection.close()
            raise

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and return the complete answer."""
        with self.open(method, path, body, headers) as stream:
            return Reply(stream.status, stream.headers, stream.read())

    def get(self, path: str, headers: dict[str, str] | None = None) -> Reply:
        """Send a GET request."""
        return self.request("GET", path, None, headers)

    def post(
        self, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Reply:
        """Send a POST request with a JSON body."""
        return self.request("POST", path, body, headers)

    def _headers(self, body: Any, headers: dict[str, str]) -> dict[str, str]:
        base = {"Connection": "close"}
        if self.token:
            base["Authorization"] = f"Bearer {self.token}"
        if body is not None and not isinstance(body, bytes):
            base["Content-Type"] = "application/json"
        return base | headers

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Request a non-streamed answer of a model."""
        body = chat_body(model, prompt, max_tokens, stream=False)
        return self.post("/v1/chat/completions", body, headers)

    def chat_stream(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 16,
        headers: dict[str, str] | None = None,
    ) -> ReplyStream:
        """Request a streamed answer of a model."""
        body = chat_body(model, prompt, max_tokens, stream=True)
        return self.open("POST", "/v1/chat/completions", body, headers)

    def call_service(
        self,
        entry: str,
        method: str,
        path: str,
        body: Any = None,
        key: str = "",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Call a plain service, with an idempotency key unless it is empty."""
        extra = dict(headers or {})
        if key:
            extra["Idempotency-Key"] = key
        return self.request(method, f"/v1/services/{entry}{path}", body, extra)


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return json.dumps(body).encode()


def chat_body(model: str, prompt: str, max_tokens: int, stream: bool) -> dict[str, Any]:
    """Return the body of a chat completions request."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": stream,
    }


def new_key() -> str:
    """Return a new idempotency key (UUIDv7)."""
    return str(uuid_utils.uuid7())


def new_nonce() -> str:
    """Return a unique string for one request."""
    return uuid.uuid4().hex
