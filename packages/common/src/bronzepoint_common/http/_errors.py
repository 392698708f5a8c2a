"""Typed errors of both sides; each message names the remedy."""


class HttpError(Exception):
    """Base of all errors of this package.

    Attributes:
        status: HTTP status that a server answers with, 0 where none is sent.
    """

    status = 0


class BadAddress(HttpError):
    """An address isn't ``host:port``; the message names the remedy."""


class BadRequest(HttpError):
    """The caller's bytes aren't HTTP/1.1."""

    status = 400

    def __init__(self, detail: str) -> None:
        super().__init__(f"not valid HTTP/1.1 ({detail}): correct the request")


class HeadTooLarge(HttpError):
    """The request's head exceeds the limit."""

    status = 431

    def __init__(self, limit: int) -> None:
        super().__init__(
            f"the head exceeds {limit} bytes: send fewer or shorter headers"
        )


class BodyTooLarge(HttpError):
    """The request's body exceeds the limit."""

    status = 413

    def __init__(self, limit: int) -> None:
        super().__init__(f"the body exceeds {limit} bytes: send a smaller one")


class RequestTimeout(HttpError):
    """The caller took too long to send its request."""

    status = 408

    def __init__(self, seconds: float) -> None:
        super().__init__(
            f"the request was not complete after {seconds:g} s: send it faster"
        )


class TooManyConnections(HttpError):
    """The server holds as many connections as it may."""

    status = 503

    def __init__(self, limit: int) -> None:
        super().__init__(
            f"{limit} connections are open, the most allowed: use another host"
        )


class HandlerFailed(HttpError):
    """The handler raised something it shouldn't have."""

    status = 500

    def __init__(self) -> None:
        super().__init__("internal fault, see the log of this host: report it")


class Disconnected(HttpError):
    """The caller left, or read nothing for longer than the write timeout."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"the caller is gone ({detail}): stop working for it")


class ConnectFailed(HttpError):
    """No connection came about: the request was certainly not sent."""

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"can't connect to {address} ({detail}): check that it runs and that "
            "the address is right"
        )


class NotSent(HttpError):
    """The connection ended before any byte of an answer.

    A server may close an idle connection just when the next request is written
    to it. What was written may still have been read and run.

    Attributes:
        certain: True where no byte was written, so that the request did not run.
    """

    def __init__(self, address: str, *, certain: bool) -> None:
        super().__init__(
            f"{address} closed the kept connection before answering: send again "
            "if the request is idempotent"
        )
        self.certain = certain


class AnswerCut(HttpError):
    """The answer ended before it was whole; the request may have run."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"{address} cut its answer: don't use the part, ask again if the "
            "request is idempotent"
        )


class AnswerTimeout(HttpError):
    """No (further) part of the answer came in time; the request may have run."""

    def __init__(self, address: str, seconds: float) -> None:
        super().__init__(
            f"{address} sent nothing for {seconds:.3g} s: allow more time or use "
            "another target"
        )


class AnswerMalformed(HttpError):
    """The answer isn't HTTP/1.1, or its end can't be told from a cut."""

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"{address} answered with bad HTTP ({detail}): mend that server"
        )
