"""Whether a running stream is copied to another target as it grows, and to which."""

from collections.abc import Iterable

from bronzepoint_node.fleet import RouteKind, ServedRoute

from ._prompt import Prompt
from ._target_table import Tracked, is_ejected, is_silent

HALF_LIFE = 20.0
"""Seconds after which a stream's end counts half. Faults come in series some seconds
long; over a longer time a calm hour hides the first of them."""
FIRST_STREAMS = 50.0
FIRST_CUTS = 1.0
"""What is believed before anything was seen: one stream of 50 is cut."""
LOSS_BY_TOKEN = 1.5e-5
"""Share of a stream's worth that copying one token of it costs: 0.026 for a thousand
tokens of a stream that is worth 1.7, measured on the users' seven sites."""
ROOM = 4
"""Multiple of the copy's memory that must be free where it goes: what runs there grows,
and a target without memory preempts."""


class CopyPolicy:
    """Weighs what a copy costs against what a cut stream loses.

    A stream that may not run twice ends with its target: on bad days one of ten does.
    It may go on from a copy of its memory, though, as the same run. A copy is paid for
    by its tokens whether it is needed or not, so it is made where the share of streams
    that were cut lately exceeds its price.
    """

    def __init__(self) -> None:
        self._streams = 0.0
        self._cuts = 0.0
        self._at = 0.0

    def note_end(self, cut: bool, now: float) -> None:
        """Count a stream that has ended; ``cut``: its target broke it off."""
        self._fade(now)
        self._streams += 1
        self._cuts += cut

    def cut_share(self, now: float) -> float:
        """Return the share of streams that are expected to be cut."""
        self._fade(now)
        return (self._cuts + FIRST_CUTS) / (self._streams + FIRST_STREAMS)

    def backup_target(
        self,
        route: ServedRoute,
        prompt: Prompt | None,
        target: Tracked,
        others: Iterable[Tracked],
        now: float,
    ) -> Tracked | None:
        """Return the target that keeps a copy of a run; None: none is worth it.

        Args:
            route: The request's route.
            prompt: Its prompt.
            target: Where it runs.
            others: Targets of its service in this region.
            now: Monotonic seconds.
        """
        if prompt is None or route.kind is not RouteKind.STREAM or route.repeatable:
            return None
        if target.engine is None or not target.engine.backups:
            return None
        tokens = prompt.tokens + (prompt.expected_output or prompt.max_output)
        if self.cut_share(now) < LOSS_BY_TOKEN * tokens:
            return None
        fit = [
            other
            for other in others
            if other is not target
            and now >= other.cold_until
            and not is_silent(other, now)
            and not is_ejected(other)
            and other.free_tokens(now) > ROOM * tokens
        ]
        # Another data center first: one that is lost takes both of its own along.
        return min(
            fit,
            key=lambda other: (
                other.info.data_center == target.info.data_center,
                other.load.in_flight(now),
            ),
            default=None,
        )

    def _fade(self, now: float) -> None:
        left = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE)
        self._streams *= left
        self._cuts *= left
        self._at = now
