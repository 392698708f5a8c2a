"""Stand-in of a requester: one attempt on a channel of its own."""

import contextlib
import http.client
import itertools

_numbers = itertools.count(1)


class Outcome:
    """What a requester has got.

    Attributes:
        request_id: Id of the attempt.
        status: Status; None: the channel ended or failed before a whole head.
        headers: Headers by lower-case name.
        body: Body as far as it came.
        complete: Whether the answer came whole by its own framing.
        error: Why it isn't.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""

    def __str__(self):
        return (
            f"status {self.status}, seal {self.headers.get('seal', 'none')}, "
            f"{len(self.body)} B, {'complete' if self.complete else 'not complete'}"
            f"{', ' + self.error if self.error else ''}"
        )


def new_id():
    """Return an id for an attempt."""
    return f"{next(_numbers):016x}"


def ask(address, method, path, body=b"", deadline_ms=8000, request_id=None, **headers):
    """Send one attempt on a new channel and return what came."""
    ip, port = address
    outcome = Outcome(request_id or new_id())
    link = http.client.HTTPConnection(ip, port, timeout=deadline_ms / 1000 + 1)
    sent = {
        "Host": "shop.example",
        "X-Bronzepoint-Request-Id": outcome.request_id,
        "X-Bronzepoint-Deadline-Ms": str(deadline_ms),
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    try:
        with contextlib.suppress(BrokenPipeError, ConnectionResetError):
            link.request(method, path, body or None, sent)
        answer = link.getresponse()
        outcome.status = answer.status
        outcome.headers = {k.lower(): v for k, v in answer.getheaders()}
        seal = outcome.headers.get("x-bronzepoint-response-seal")
        if seal is not None:
            outcome.headers["seal"] = seal
        outcome.body = answer.read()
        outcome.complete = True
    except http.client.IncompleteRead as exc:
        outcome.body = exc.partial
        outcome.error = "the answer was cut"
    except (TimeoutError, OSError, http.client.HTTPException) as exc:
        outcome.error = f"{type(exc).__name__}: {exc}"
    finally:
        link.close()
    return outcome
