"""The request rate that a target has limited itself to."""

from dataclasses import dataclass


@dataclass
class RequestLimit:
    """What is known of the request rate that a target takes from all hosts together.

    Attributes:
        rate: Requests per second; None: not limited.
        observed_at: Time of the answer that says so, in monotonic seconds.
    """

    rate: float | None = None
    observed_at: float = float("-inf")

    def observe(self, rate: float | None, at: float) -> bool:
        """Record what an answer says; return whether the rate has changed.

        Args:
            rate: Requests per second; None: the answer names no limit.
            at: Time of the answer in monotonic seconds; older ones are ignored.
        """
        if at < self.observed_at or (rate is None and self.rate is None):
            return False
        has_changed = rate != self.rate
        self.rate, self.observed_at = rate, at
        return has_changed
