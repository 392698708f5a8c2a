"""Status of the attempts that this host claimed."""

from dataclasses import dataclass

from bronzepoint_schema.generated.run_once import (
    AskReply,
    AttemptStatus,
    Done,
    Released,
    Unknown,
)


@dataclass
class _Attempt:
    status: AttemptStatus
    outcome: Done | Unknown | None = None


class Attempts:
    """Tracks attempts, and answers other hosts that ask whether one still runs.

    An attempt is marked as not run before any host gets that answer, and is never
    dispatched afterwards, because another host may then claim the key. An attempt
    that this host doesn't know belongs to one of its earlier incarnations.
    """

    def __init__(self) -> None:
        self._attempts: dict[bytes, _Attempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def begin(self, attempt: bytes) -> None:
        """Record an attempt before its claim is proposed."""
        self._attempts[attempt] = _Attempt(AttemptStatus.running)

    def is_running(self, attempt: bytes) -> bool:
        """Return whether the attempt may still run the request."""
        return self.reply(attempt).status is AttemptStatus.running

    def end(self, attempt: bytes, outcome: Done | Unknown | Released) -> None:
        """Record how an attempt ended, until its register holds the outcome."""
        match outcome:
            case Released():
                self._attempts[attempt] = _Attempt(AttemptStatus.not_run)
            case _:
                self._attempts[attempt] = _Attempt(AttemptStatus.ended, outcome)

    def drop(self, attempt: bytes) -> None:
        """Remove an attempt whose outcome the register holds."""
        self._attempts.pop(attempt, None)

    def reply(self, attempt: bytes) -> AskReply:
        """Return the reply to a host that queries an attempt."""
        stored = self._attempts.get(attempt)
        if stored is None:
            return AskReply(AttemptStatus.forgotten)
        return AskReply(stored.status, stored.outcome)
