"""Stand-in of a replica: raw sockets, so that each byte and each close is its own."""

import contextlib
import itertools
import socket
import struct
import threading

RESET = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close sends a reset."""
_numbers = itertools.count(1)


class Head:
    """Head of a request.

    Attributes:
        method: Its method.
        path: Path and query as received.
        headers: Values by lower-case name.
    """

    def __init__(self, text):
        first, *lines = text.split("\r\n")
        self.method, self.path, _ = first.split(" ", 2)
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()

    @property
    def request_id(self):
        """Id that the requester gave this attempt."""
        return self.headers.get("x-bronzepoint-request-id", "")

    @property
    def length(self):
        """Bytes of the body."""
        return int(self.headers.get("content-length", "0"))


class Link:
    """A channel that a replica has accepted."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def read_head(self):
        """Return the next head; None: the channel has ended."""
        while b"\r\n\r\n" not in self.data:
            piece = self.sock.recv(65536)
            if not piece:
                return None
            self.data += piece
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        return Head(head.decode("latin-1"))

    def read_body(self, head):
        """Return the whole body of a request with a length."""
        while len(self.data) < head.length:
            piece = self.sock.recv(1 << 20)
            if not piece:
                raise ConnectionError("the body ends early")
            self.data += piece
        body, self.data = self.data[: head.length], self.data[head.length :]
        return body

    def send(self, data):
        """Send bytes."""
        self.sock.sendall(data)

    def reset(self):
        """Reset the channel."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class Replica:
    """A replica that serves one request at a time on each channel.

    Args:
        record: Log of the case.
        ip: Loopback address.
        service: Service that it belongs to.
        zone: Zone that it is listed in.
        slots: Number of requests that it says it runs at once.

    Attributes:
        serve: Called with the replica, a channel, the head of a request and its number;
            answers it. Returns whether the channel is kept.
        ran: Ids of the requests that it has begun to run, in order.
    """

    def __init__(self, record, ip, service, zone, serve, slots=6):
        self.record = record
        self.id = f"i-{service}{next(_numbers)}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.serve = serve
        self.state = "ready"
        self.ran = []
        self._listener = socket.create_server((ip, 0), backlog=64)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        """Return the entry of the provider's list."""
        return {
            "id": self.id,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
        }

    def note_run(self, head):
        """Record that a request begins to run here."""
        self.ran.append(head.request_id)
        self.record.write(f"{self.id} runs {head.request_id} {head.path}")

    def answer_head(self, head, status="200 OK", **headers):
        """Return the head of an answer with id and seal, and no length."""
        lines = [
            f"HTTP/1.1 {status}",
            f"X-Bronzepoint-Request-Id: {head.request_id}",
            f"X-Bronzepoint-Response-Seal: seal-{self.id}-{head.request_id}",
            f"X-Bronzepoint-Instance-Id: {self.id}",
        ]
        lines += [f"{name.replace('_', '-')}: {v}" for name, v in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode()

    def answer(self, link, head, body, status="200 OK", **headers):
        """Send a whole answer with a length."""
        head_bytes = self.answer_head(head, status, Content_Length=len(body), **headers)
        link.send(head_bytes + body)
        return True

    def close(self):
        """Stop accepting."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock):
        link = Link(sock)
        with contextlib.suppress(OSError, ConnectionError), contextlib.closing(sock):
            while (head := link.read_head()) is not None:
                if not self._serve_one(link, head):
                    return

    def _serve_one(self, link, head):
        if head.path == "/health":
            link.read_body(head)
            return self.answer(link, head, b"", X_Bronzepoint_Instance_Id=self.id)
        expected = head.headers.get("x-bronzepoint-expect-instance", self.id)
        if expected != self.id:
            link.read_body(head)
            return self.answer(
                link, head, b"", "421 Misdirected Request", X_Bronzepoint_Not_Executed=1
            )
        return self.serve(self, link, head)


def serve_whole(body):
    """Return a function that reads a request whole and answers it with a body."""

    def serve(replica, link, head):
        link.read_body(head)
        replica.note_run(head)
        return replica.answer(link, head, body)

    return serve
