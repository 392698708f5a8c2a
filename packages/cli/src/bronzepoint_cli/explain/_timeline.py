"""Timeline of one request, built from the logs of several hosts."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_cli.explain._log_lines import LogLine

LEAD_TIME = 3.0
"""Seconds before the arrival of a request from which state changes are included."""
TRAILING_TIME = 1.0
"""Seconds after the end of a request for which lines about its targets are included.

A crash of its target is detected shortly after its answer was truncated.
"""
MAX_STATE_CHANGES = 12
"""Maximum number of state changes, so that a timeline fits on one screen."""
CATALOGUE_MESSAGE = "catalogue in force"
"""Log message of a host that has applied a catalogue version."""


@dataclass
class RequestTimeline:
    """Log lines related to one request.

    The field names are part of the JSON output.

    Attributes:
        request_id: Id of the request.
        parts: Lines about the request, one or more from each host that processed it.
        beliefs: State changes logged by these hosts shortly before and during the
            request, and by any host about the tried targets or the fingerprint.
        left_out: Number of state changes left out of `beliefs`.
        newest: First line of any host on the newest catalogue at the request's arrival.
    """

    request_id: str
    parts: list[LogLine] = field(default_factory=list)
    beliefs: list[LogLine] = field(default_factory=list)
    left_out: int = 0
    newest: LogLine | None = None

    @property
    def started_at(self) -> float:
        """Unix seconds of the request's first arrival, by the clocks of the hosts."""
        return min((processing_started_at(part) for part in self.parts), default=0.0)

    @property
    def final_line(self) -> LogLine | None:
        """Last line of the host that answered the caller, or None."""
        own = [part for part in self.parts if not part.fields.get("forwarded")]
        return (own or self.parts or [None])[-1]


def processing_started_at(part: LogLine) -> float:
    """Return the Unix seconds at which a host started to process a request."""
    return part.at - float(part.fields.get("seconds") or 0.0)


def build_timeline(request_id: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Build the timeline of a request from log lines in any order."""
    ordered = sorted(lines, key=lambda line: line.at)
    timeline = RequestTimeline(request_id)
    timeline.parts = [line for line in ordered if line.request == request_id]
    if not timeline.parts:
        return timeline
    others = [line for line in ordered if not line.request]
    catalogue_lines = [
        b
        for b in others
        if b.message == CATALOGUE_MESSAGE and b.at <= timeline.started_at
    ]
    if catalogue_lines:
        newest = max(line.fields.get("version", -1) for line in catalogue_lines)
        timeline.newest = next(
            b for b in catalogue_lines if b.fields.get("version") == newest
        )
    timeline.beliefs, timeline.left_out = _select_state_changes(
        timeline, others, catalogue_lines
    )
    return timeline


def _select_state_changes(
    timeline: RequestTimeline, others: list[LogLine], catalogue_lines: list[LogLine]
) -> tuple[list[LogLine], int]:
    """Return the state changes to show, and the number of those left out."""
    hosts = {part.host for part in timeline.parts}
    tried = " ".join(note for p in timeline.parts for note in p.fields.get("tries", ()))
    ended = max(part.at for part in timeline.parts)
    fingerprints = {part.fields.get("fingerprint") for part in timeline.parts} - {
        None,
        "",
    }
    found = []
    for line in others:
        fingerprint = _fingerprint_of(line)
        is_related = (
            _target_of(line) in tried
            or fingerprint in fingerprints
            # A prompt part that blocked the request is named in its notes.
            or (fingerprint.startswith("+") and f": {fingerprint}" in tried)
        )
        until = ended + TRAILING_TIME if is_related else ended
        if not timeline.started_at - LEAD_TIME <= line.at <= until:
            continue
        if is_related or line.host in hosts:
            found.append(line)
    # The catalogue version that a host used is shown, however old its line is.
    catalogues_in_use = [
        [b for b in catalogue_lines if b.host == host][-1:] for host in sorted(hosts)
    ]
    kept = [line for lines in catalogues_in_use for line in lines]
    rest = [line for line in found if line not in kept]
    free_places = max(0, MAX_STATE_CHANGES - len(kept))
    kept += rest[len(rest) - free_places :]
    left_out = max(0, len(rest) - free_places)
    return sorted(kept, key=lambda line: line.at), left_out


def _fingerprint_of(line: LogLine) -> str:
    """Return the request fingerprint that a line is about; empty if there is none."""
    return str(line.fields.get("fingerprint") or "")


def _target_of(line: LogLine) -> str:
    """Return the target that a line is about; if none, a text found in no try."""
    return str(line.fields.get("target") or "\0")
