"""Errors of the run-once records."""


class RunOnceError(Exception):
    """Base class of the errors of the run-once records."""


class InvalidKey(RunOnceError):
    """The idempotency key is not a UUIDv7."""

    def __init__(self, key: str) -> None:
        super().__init__(
            f"idempotency key {key[:64]!r} is not a UUIDv7; create a new UUIDv7 for "
            "each new request and resend the request with the same one"
        )


class KeyAhead(RunOnceError):
    """The timestamp of the key is in the future.

    Args:
        seconds: Seconds by which the key is ahead of this host's clock.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        super().__init__(
            f"the idempotency key was made {seconds:.1f} s in the future; "
            "synchronise the caller's clock with a time server and make a new key"
        )


class RoundFailed(RunOnceError):
    """No majority of the replicas took part in time.

    Args:
        reason: Why the replicas refused, or which ones did not vote.
        stored: Whether some replica may have stored the proposed state.
    """

    def __init__(self, reason: str, stored: bool) -> None:
        self.reason = reason
        self.stored = stored
        super().__init__(
            f"no majority of the key's replicas agreed: {reason}; resend with the same "
            "key once more hosts of the home region are reachable"
        )
