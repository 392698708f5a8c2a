"""Typed errors of the run-once records."""


class RunOnceError(Exception):
    """Base of the errors of the run-once records."""


class InvalidKey(RunOnceError):
    """The idempotency key is not a UUIDv7."""

    def __init__(self, key: str) -> None:
        super().__init__(
            f"idempotency key {key[:64]!r} is not a UUIDv7; create a new UUIDv7 for "
            "each new request and resend the request with the same one"
        )


class KeyAhead(RunOnceError):
    """The time part of the key lies in the future.

    Args:
        seconds: How far it is ahead of this host's clock.
    """

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds
        super().__init__(
            f"the idempotency key was made {seconds:.1f} s in the future; set the "
            "caller's clock by a time server and make a new key"
        )


class RoundFailed(RunOnceError):
    """No majority of the copies took part in time.

    Args:
        reason: What the copies that answered said.
        stored: True: some copy may have stored the proposed state.
    """

    def __init__(self, reason: str, stored: bool) -> None:
        self.reason = reason
        self.stored = stored
        super().__init__(
            f"no majority of the key's copies agreed: {reason}; resend with the same "
            "key once more hosts of the home region are reachable"
        )
