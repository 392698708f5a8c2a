"""Errors of the deployment harness."""


class DeploymentError(Exception):
    """A deployment did not reach the requested state."""


class ProcessEnded(DeploymentError):
    """A process ended unexpectedly."""

    def __init__(self, name: str, status: int | None, tail: str) -> None:
        super().__init__(
            f"Process {name} is not running (exit status {status}): start it again, or "
            f"find out why it ended from the last lines of its log:\n{tail}"
        )


class NotReached(DeploymentError):
    """A state was not reached within the timeout."""

    def __init__(self, what: str, timeout: float, last: str) -> None:
        super().__init__(
            f"Not reached within {timeout:g} s: {what}. Last observed: {last}. See the "
            f"daemons' logs or increase the timeout."
        )


class RequestFailed(DeploymentError):
    """A request of the harness was answered with an error."""

    def __init__(self, what: str, status: int, body: bytes) -> None:
        text = body.decode(errors="replace")
        super().__init__(f"{what} failed with status {status}: {text}")
        self.status = status
        self.body = body
