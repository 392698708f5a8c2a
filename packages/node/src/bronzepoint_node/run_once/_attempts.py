"""What this host knows of the attempts that it claimed."""

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
    """Answers other hosts that ask whether an attempt is still at work.

    An attempt is marked as not run before anyone is told so, and is never dispatched
    after that: another host may claim the key on the strength of the answer. An
    attempt that this host doesn't know belongs to an earlier incarnation of it.
    """

    def __init__(self) -> None:
        self._attempts: dict[bytes, _Attempt] = {}

    def __len__(self) -> int:
        return len(self._attempts)

    def begin(self, attempt: bytes) -> None:
        """Note an attempt before its claim is proposed."""
        self._attempts[attempt] = _Attempt(AttemptStatus.running)

    def is_running(self, attempt: bytes) -> bool:
        """Tell whether the attempt may still run the request."""
        return self.reply(attempt).status is AttemptStatus.running

    def end(self, attempt: bytes, outcome: Done | Unknown | Released) -> None:
        """Note how an attempt ended, until its register says so."""
        match outcome:
            case Released():
                self._attempts[attempt] = _Attempt(AttemptStatus.not_run)
            case _:
                self._attempts[attempt] = _Attempt(AttemptStatus.ended, outcome)

    def drop(self, attempt: bytes) -> None:
        """Forget an attempt whose outcome the register holds."""
        self._attempts.pop(attempt, None)

    def reply(self, attempt: bytes) -> AskReply:
        """Return what to tell a host that asks."""
        known = self._attempts.get(attempt)
        if known is None:
            return AskReply(AttemptStatus.forgotten)
        return AskReply(known.status, known.outcome)
