"""Errors of the deployment harness."""


class DeploymentError(Exception):
    """A deployment could not be brought into the wanted state."""


class ProcessEnded(DeploymentError):
    """A process that should run has ended."""

    def __init__(self, name: str, status: int | None, tail: str) -> None:
        super().__init__(
            f"Process {name} isn't running (exit status {status}); start it again, or "
            f"see why it ended in its log:\n{tail}"
        )


class NotReached(DeploymentError):
    """A state was waited for and did not come."""

    def __init__(self, what: str, timeout: float, last: str) -> None:
        super().__init__(
            f"Not reached within {timeout:g} s: {what}. Last seen: {last}. Look at the "
            f"daemons' logs, or give it more time."
        )


class RequestFailed(DeploymentError):
    """An operator's request was answered with an error."""

    def __init__(self, what: str, status: int, body: bytes) -> None:
        text = body.decode(errors="replace")
        super().__init__(f"{what} was answered {status}: {text}")
        self.status = status
        self.body = body
