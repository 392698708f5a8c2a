"""A request that was sent, and whether its target may still read it later."""

from dataclasses import dataclass
from typing import Protocol


class Receiver(Protocol):
    """A target that requests are sent to.

    Attributes:
        is_gone: It has ended and reads nothing any more.
        read_until: Send time of the newest request that it is known to have answered.
    """

    is_gone: bool
    read_until: float


@dataclass(slots=True)
class Delivery:
    """One send of a request.

    A suspended process reads what its sockets have received once it goes on, even if
    the sender has reset the connection since.

    Attributes:
        target: The target; None: a host of another region, which doesn't send a
            request on whose connection has been closed.
        sent_at: Monotonic time of the send.
        ended_at: Time from which it can't arrive any more; None: it still may.
    """

    target: Receiver | None
    sent_at: float
    ended_at: float | None = None

    def end(self, now: float) -> None:
        """Record that the request has arrived, or will not arrive any more."""
        if self.ended_at is None:
            self.ended_at = now

    def latest_arrival(self, now: float) -> float:
        """Return the latest time at which it has arrived; ``now`` if it still may."""
        if not self._may_be_read():
            self.end(now)
        return now if self.ended_at is None else self.ended_at

    def is_pending(self, now: float) -> bool:
        """Return whether the request may still arrive."""
        self.latest_arrival(now)
        return self.ended_at is None

    def _may_be_read(self) -> bool:
        target = self.target
        if target is None:
            return True
        return not target.is_gone and target.read_until < self.sent_at
