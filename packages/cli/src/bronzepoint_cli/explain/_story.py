"""What the logs say of one request, in the order of time."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_cli.explain._log_lines import LogLine

BEFORE = 3.0
"""Seconds before a request came for which changes of belief are told."""
AFTER = 1.0
"""Seconds after its end in which what is said of it counts: that its target has crashed
is known a moment after its answer broke off."""
MOST_BELIEFS = 12
"""Changes of belief that are told, so that a story fits on one screen."""
CATALOGUE = "catalogue in force"


@dataclass
class Story:
    """Everything that is known of one request.

    Attributes:
        request_id: The request.
        parts: Its own lines, one or more from each host that worked on it.
        beliefs: What these hosts came to believe shortly before and meanwhile, and
            what any host said of the targets that were tried, or of what was asked.
        left_out: Further changes of belief that are not among them.
        newest: First line of any host on the newest catalogue when the request came.
    """

    request_id: str
    parts: list[LogLine] = field(default_factory=list)
    beliefs: list[LogLine] = field(default_factory=list)
    left_out: int = 0
    newest: LogLine | None = None

    @property
    def began(self) -> float:
        """When the request came first, by the clocks of the hosts."""
        return min((began_at(part) for part in self.parts), default=0.0)

    @property
    def last(self) -> LogLine | None:
        """The line of the host that answered the caller; None: there is none."""
        own = [part for part in self.parts if not part.fields.get("forwarded")]
        return (own or self.parts or [None])[-1]


def began_at(part: LogLine) -> float:
    """Return when a host began to work on a request."""
    return part.at - float(part.fields.get("seconds") or 0.0)


def tell_story(request_id: str, lines: Iterable[LogLine]) -> Story:
    """Put together what belongs to a request."""
    ordered = sorted(lines, key=lambda line: line.at)
    story = Story(request_id)
    story.parts = [line for line in ordered if line.request == request_id]
    if not story.parts:
        return story
    others = [line for line in ordered if not line.request]
    held = [b for b in others if b.message == CATALOGUE and b.at <= story.began]
    if held:
        newest = max(line.fields.get("version", -1) for line in held)
        story.newest = next(b for b in held if b.fields.get("version") == newest)
    story.beliefs, story.left_out = _choose(story, others, held)
    return story


def _choose(
    story: Story, others: list[LogLine], held: list[LogLine]
) -> tuple[list[LogLine], int]:
    """Return the changes of belief that are told, and how many are not."""
    hosts = {part.host for part in story.parts}
    tried = " ".join(note for p in story.parts for note in p.fields.get("tries", ()))
    ended = max(part.at for part in story.parts)
    asked = {part.fields.get("fingerprint") for part in story.parts} - {None, ""}
    found = []
    for line in others:
        speaks_of_it = _target_of(line) in tried or _name_of(line) in asked
        until = ended + AFTER if speaks_of_it else ended
        if not story.began - BEFORE <= line.at <= until:
            continue
        if speaks_of_it or line.host in hosts:
            found.append(line)
    # What a host serves on counts however long ago it heard of it.
    served_on = [[b for b in held if b.host == host][-1:] for host in sorted(hosts)]
    kept = [line for lines in served_on for line in lines]
    rest = [line for line in found if line not in kept]
    room = max(0, MOST_BELIEFS - len(kept))
    kept += rest[len(rest) - room :]
    left_out = max(0, len(rest) - room)
    return sorted(kept, key=lambda line: line.at), left_out


def _name_of(line: LogLine) -> str:
    """Return the name of the request that a line speaks of; empty: none."""
    return str(line.fields.get("fingerprint") or "")


def _target_of(line: LogLine) -> str:
    """Return the target that a line speaks of; a text that no try holds: none."""
    return str(line.fields.get("target") or "\0")
