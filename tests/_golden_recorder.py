"""Records HTTP sessions as text that is the same in every run."""

import json
import re
import socket
from typing import Any

from bronzepoint_emulator.deployment import Client, Deployment, Reply, wait_until

REQUEST_ID = re.compile(r"\b([a-z]+-\d+\.[a-z]+)\.([0-9a-f]{32})\b")
UUID = re.compile(r"\b[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}\b")
ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
ADDRESS_PAIR = re.compile(r"\('127\.0\.0\.1', \d+\)")
NUMBER = re.compile(r"(?<![\w.:-])\d+(?:\.\d+)?\b")
FRACTION = re.compile(r"(?<![\w./-])(?:\d+\.\d+\b|\d+(?= s\b))")
HOST_LIST = re.compile(r"\b[a-z]+-\d+(?:, [a-z]+-\d+)+")
CLOCK_TIME = re.compile(r"\b\d\d:\d\d:\d\dZ")
MAX_LINE = 100
"""Characters of JSON above which a body is written on several lines."""
HIDDEN_HEADERS = ("connection", "content-length")
"""Headers that are left out of the transcript."""
MEASURED_TEXTS = ("detail", "reason")
"""Text fields in which all numbers are measured."""
PARTLY_MEASURED_TEXTS = ("message", "remedy")
"""Text fields in which only fractions and numbers of seconds are measured."""
UNSTABLE = {
    "arrived": "time",
    "started": "seconds",
    "ended": "seconds",
    "duration": "seconds",
    "retry_after": "seconds",
    "confirmed_age": "seconds",
    "silent": "seconds",
    "unfenced_wait": "seconds",
    "score": "score",
    "load": "load",
    "running": "count",
    "in_flight": "count",
    "waiting": "count",
    "index": "index",
    "term": "term",
    "fencing_number": "number",
    "storage": "storage",
    "found": "storage",
    "leader": "host",
    "age": "seconds",
}
"""Fields whose values vary between runs, with their placeholders."""
MEANINGFUL_ZEROS = ("score", "retry_after")
"""Fields in which zero has a meaning: not scored, or no retry advised."""
SORTED_LISTS = {
    "candidates": lambda item: (item["excluded"] is not None, item["name"]),
    "hosts": lambda item: item["name"],
    "items": lambda item: (item["kind"], item["name"]),
    "targets": lambda item: (item.get("entry", ""), str(item.get("target", ""))),
    "voter_states": lambda item: item["host"],
    "engines": lambda item: item["target"],
}
"""Sort keys of lists whose order is random or depends on measured values."""
SHOWN_COUNTERS = (
    "refusal.bad_request",
    "refusal.forbidden",
    "refusal.key_missing",
    "refusal.rate_limited",
    "refusal.unknown_entry",
)
"""Counters shown in transcripts; all others depend on the harness's waiting times."""
VOTER_ROLES = ("leader", "follower", "candidate", "learner")
"""Values of ``role`` that vary between runs."""


class Normaliser:
    """Replaces text that varies between runs with stable names.

    Args:
        names: Name shown for each address.
    """

    def __init__(self, names: dict[str, str]) -> None:
        self._names = names
        self._labels: dict[str, str] = {}

    def text(self, text: str) -> str:
        """Return the text with stable identifiers, addresses and times."""
        text = REQUEST_ID.sub(lambda m: f"{m[1]}.{self._label('ID', m[2])}", text)
        text = UUID.sub(lambda m: self._label("KEY", m[0]), text)
        text = ADDRESS.sub(lambda m: self._names.get(m[0], "address"), text)
        text = HOST_LIST.sub(lambda m: ", ".join(sorted(m[0].split(", "))), text)
        text = ADDRESS_PAIR.sub("(address)", text)
        return CLOCK_TIME.sub("hh:mm:ssZ", text)

    def body(self, data: bytes) -> str:
        """Return the normalised body; long JSON is indented."""
        try:
            value = json.loads(data)
        except ValueError:
            return self.text(data.decode(errors="replace"))
        stable = self._value(value, "")
        line = json.dumps(stable)
        if len(line) > MAX_LINE:
            line = json.dumps(stable, indent=2)
        return re.sub(r'"(<[a-z]+>)"', r"\1", self.text(line))

    def _value(self, value: Any, key: str) -> Any:
        if isinstance(value, dict):
            return {name: self._field(name, item) for name, item in value.items()}
        if isinstance(value, list):
            return [self._value(item, "") for item in self._sorted(value, key)]
        if isinstance(value, str) and key in MEASURED_TEXTS:
            return NUMBER.sub("N", self.text(value))
        if isinstance(value, str) and key in PARTLY_MEASURED_TEXTS:
            return FRACTION.sub("N", self.text(value))
        return value

    def _field(self, name: str, value: Any) -> Any:
        if name in UNSTABLE and (value or name not in MEANINGFUL_ZEROS):
            return f"<{UNSTABLE[name]}>"
        if name == "role" and value in VOTER_ROLES:
            return "<role>"
        if name in ("counters", "gauges"):
            return self._counters(value)
        return self._value(value, name)

    @staticmethod
    def _counters(counters: dict[str, float]) -> dict[str, str]:
        """Keep only counters that are determined by the earlier sessions."""
        shown_names = sorted(name for name in counters if name in SHOWN_COUNTERS)
        return {name: "<count>" for name in shown_names}

    @staticmethod
    def _sorted(items: list[Any], key: str) -> list[Any]:
        order = SORTED_LISTS.get(key)
        if order is None or not all(isinstance(item, dict) for item in items):
            return items
        return sorted(items, key=order)

    def _label(self, kind: str, value: str) -> str:
        count = sum(label.startswith(kind) for label in self._labels.values())
        return self._labels.setdefault(value, f"{kind}-{count + 1}")


class Recorder:
    """Sends requests and records both sides of the session.

    Args:
        dep: Deployment that receives the requests.
        names: Name shown for each address.
    """

    def __init__(self, dep: Deployment, names: dict[str, str]) -> None:
        self.dep = dep
        self._normaliser = Normaliser(names)
        self._lines: list[str] = []

    @property
    def transcript(self) -> str:
        """Text of the session so far."""
        return "\n".join(self._lines) + "\n"

    def note(self, text: str) -> None:
        """Record a remark between two requests."""
        self._lines += [f"# {text}", ""]

    def send(
        self,
        client: Client,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request and record it with its answer."""
        self.record_request(client, method, path, body, headers)
        reply = client.request(method, path, body, headers)
        self.record_answer(reply)
        return reply

    def stream(
        self,
        client: Client,
        path: str,
        body: Any,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request and record its streamed answer, which may be truncated."""
        self.record_request(client, "POST", path, body, headers)
        with client.open("POST", path, body, headers) as answer:
            self._head(answer.status, answer.headers)
            try:
                for event in answer.events():
                    self._lines += [f"< data: {self._normaliser.text(event)}", "<"]
            except Exception as exc:
                self._lines.append(f"(the connection was cut: {type(exc).__name__})")
        self._lines.append("")

    def raw(self, address: str, data: bytes, shown: str) -> None:
        """Send bytes that no client library would send, and record the answer.

        Args:
            address: Address of the host.
            data: Bytes to send.
            shown: Text of the request in the transcript.
        """
        self._lines += [f"> {line}".rstrip() for line in shown.splitlines()]
        host, _, port = address.rpartition(":")
        with socket.create_connection((host, int(port)), 30.0) as sock:
            sock.sendall(data)
            received = b""
            while piece := sock.recv(65536):
                received += piece
        head, _, body = received.partition(b"\r\n\r\n")
        first, *rest = head.decode().splitlines()
        headers = dict(line.lower().split(": ", 1) for line in rest)
        self.record_answer(Reply(int(first.split()[1]), headers, body))

    def record_request(
        self,
        client: Client,
        method: str,
        path: str,
        body: Any,
        headers: dict[str, str] | None,
    ) -> None:
        """Record a request without sending it."""
        self._lines.append(f"> {method} {self._normaliser.text(path)} HTTP/1.1")
        if client.token:
            self._lines.append(f"> Authorization: Bearer {client.token}")
        for name, value in (headers or {}).items():
            self._lines.append(f"> {name}: {self._normaliser.text(value)}")
        if body is not None:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
            self._body(">", data)

    def record_answer(self, reply: Reply) -> None:
        """Record a complete answer."""
        self._head(reply.status, reply.headers)
        if reply.body:
            self._body("<", reply.body)
        self._lines.append("")

    def wait_why(self, client: Client, request_id: str) -> None:
        """Wait until a request's record is complete, which is after its answer."""

        def complete() -> bool:
            records = client.get(f"/v1/why/{request_id}").json()["records"]
            return all(item["outcome"] != "in_progress" for item in records)

        wait_until(complete, "the record is complete")

    def _head(self, status: int, headers: dict[str, str]) -> None:
        self._lines.append(f"< HTTP/1.1 {status}")
        for name, value in headers.items():
            if name == "retry-after":
                value = "<seconds>"
            if name not in HIDDEN_HEADERS:
                self._lines.append(f"< {name}: {self._normaliser.text(value)}")

    def _body(self, mark: str, data: bytes) -> None:
        lines = self._normaliser.body(data).splitlines()
        self._lines += [mark, *(f"{mark} {line}".rstrip() for line in lines)]
