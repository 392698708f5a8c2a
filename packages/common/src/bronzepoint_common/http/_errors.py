"""Errors of client and server; each message names the remedy."""


class HttpError(Exception):
    """Base class of all errors of this package.

    Attributes:
        status: HTTP status that a server answers with; 0: no answer is sent.
    """

    status = 0


class BadAddress(HttpError):
    """An address isn't in the form ``host:port``."""


class BadRequest(HttpError):
    """The request isn't valid HTTP/1.1."""

    status = 400

    def __init__(self, detail: str) -> None:
        super().__init__(f"not valid HTTP/1.1 ({detail}): correct the request")


class HeadTooLarge(HttpError):
    """The head of the request exceeds the limit."""

    status = 431

    def __init__(self, limit: int) -> None:
        super().__init__(
            f"the head exceeds {limit} bytes: send fewer or shorter headers"
        )


class BodyTooLarge(HttpError):
    """The body of the request exceeds the limit."""

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
    """The server has reached its limit of open connections."""

    status = 503

    def __init__(self, limit: int) -> None:
        super().__init__(
            f"the limit of {limit} open connections is reached: use another host"
        )


class MemoryExhausted(HttpError):
    """The memory for requests is used up by others that come first."""

    status = 503

    def __init__(self) -> None:
        super().__init__(
            "no memory is left for this request, which wasn't run: send it again later"
        )


class HandlerFailed(HttpError):
    """The handler raised an unexpected error."""

    status = 500

    def __init__(self) -> None:
        super().__init__("internal error: see the log of this host and report it")


class Disconnected(HttpError):
    """The caller disconnected, or read nothing for longer than the write timeout."""

    def __init__(self, detail: str) -> None:
        super().__init__(f"the caller disconnected ({detail}): stop its request")


class ConnectFailed(HttpError):
    """No connection was established: the request was certainly not sent.

    Attributes:
        timed_out: Nothing answered, so the server may be partitioned from this host.
    """

    def __init__(self, address: str, detail: str, timed_out: bool = False) -> None:
        self.timed_out = timed_out
        super().__init__(
            f"can't connect to {address} ({detail}): check that it runs and that "
            "the address is right"
        )


class NotSent(HttpError):
    """A reused connection ended before any byte of an answer.

    A server may close an idle connection just as the next request is written to it.
    The request may still have been read and run.

    Attributes:
        certain: True if no byte was written, so that the request did not run.
    """

    def __init__(self, address: str, *, certain: bool) -> None:
        super().__init__(
            f"{address} closed a reused connection before answering: send again "
            "if the request is idempotent"
        )
        self.certain = certain


class AnswerCut(HttpError):
    """The answer is truncated; the request may have run."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"{address} cut its answer: don't use the part, ask again if the "
            "request is idempotent"
        )


class AnswerTimeout(HttpError):
    """No (further) part of the answer arrived in time; the request may have run."""

    def __init__(self, address: str, seconds: float) -> None:
        super().__init__(
            f"{address} sent nothing for {seconds:.3g} s: allow more time or use "
            "another target"
        )


class AnswerMalformed(HttpError):
    """The answer isn't valid HTTP/1.1, or a truncated one would look complete."""

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(
            f"{address} sent an invalid HTTP answer ({detail}): repair that server"
        )
