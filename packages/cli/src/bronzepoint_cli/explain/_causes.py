"""Finds the cause of a request's outcome in its timeline."""

import re
from collections.abc import Mapping
from itertools import groupby

from bronzepoint_cli.explain._log_lines import LogLine
from bronzepoint_cli.explain._timeline import RequestTimeline

REFUSALS: Mapping[str, str] = {
    "no_catalogue": "the host had no confirmed catalogue yet",
    "no_room": "no target of its region and no other region had free capacity",
    "no_time": "its stream would not have ended by its deadline on any target",
    "retries_used_up": "all tries were refused, and no retry was left",
    "leaving": "the host was shutting down",
    "unauthenticated": "no organisation in the current catalogue has its API key",
    "key_unconfirmed": "its API key is unknown, and the host's catalogue may have been "
    "out of date",
    "route_unconfirmed": "the host knows no route for it, and the host's catalogue may "
    "have been out of date",
    "resting": "all targets of its region had asked its host for a rest, and no other "
    "region had free capacity",
    "limited": "all targets of its region limit their request rate, and no other "
    "region had free capacity",
    "lagging": "the host was overloaded",
    "over_quota": "its organisation has used up its quota over all hosts",
    "version_gone": "no target of the software version that began its stream is left",
    "origin_unknown": "no host knows which software version began its stream",
    "origin_unconfirmed": "hosts that may know which software version began its stream "
    "had not answered",
    "held": "targets crashed as they ran it, and it is blocked for some time",
}
"""Meaning of each refusal reason; the request did not run."""
TRY_ENDS: Mapping[str, str] = {
    "connect_failed": "no connection was made",
    "not_sent": "the connection broke before the request was written",
    "rejected": "the target turned it away",
    "replaced": "the target had restarted",
    "withheld": "its target had just asked for a rest or begun to leave, so it wasn't "
    "sent there",
    "region_refused": "the other region had no free capacity",
    "host_refused": "the host of the other region lagged or was about to stop",
    "held": "the other region has blocked it, as targets crashed when they ran it",
    "cut": "the connection broke after it was sent, so it may have run",
    "cut_in_event": "the stream ended inside an event, so the rest of it was missing",
    "too_long": "an answer that can't be sent on was longer than this host collects",
    "malformed": "the answer wasn't valid HTTP",
    "other_answer": "the answer belonged to another request",
    "timeout": "no answer came in time",
    "lost": "the target or host fell silent",
}
"""Meaning of each way in which a try can end."""
CUT_ENDS = ("cut", "cut_in_event")
"""Ends of a try whose target may have crashed."""
BLOCKED_NOTE = "held back: "
"""Start of the note with the fingerprint by which a request was blocked."""
IN_TIME = "answered in time"
LOOP_BLOCKED_MESSAGE = "event loop late"
"""Log message of a host whose event loop was blocked."""
MIN_BUSY_FRACTION = 0.5
"""Minimum CPU time, as a fraction of the blocked time, if the host itself is the cause.

With less CPU time, the process was suspended or starved from outside.
"""
_END = re.compile(r" -> ([a-z_]+?)(?:_[0-9]+)?(?:, ended)?$")


def find_cause(timeline: RequestTimeline) -> str:
    """Return one line that explains the outcome of a request."""
    final_line = timeline.final_line
    if final_line is None:
        return (
            "no host wrote a line of it: it reached none of them, or its host was "
            "killed before it ended"
        )
    match final_line.message:
        case "no route":
            return _cause_of_no_route(timeline, final_line)
        case "refused":
            reason = str(final_line.fields.get("reason", ""))
            return f"not run: {REFUSALS.get(reason, reason)}"
        case "answer failed":
            return f"a fault of the host: {final_line.fields.get('reason', '')}"
    cause = _cause_of_outcome(timeline, final_line)
    return cause if cause == IN_TIME else cause + _loop_blocked(timeline, final_line)


def _loop_blocked(timeline: RequestTimeline, final_line: LogLine) -> str:
    """Return how long the event loop of the answering host was blocked, if at all."""
    late = [
        line
        for line in timeline.beliefs
        if line.message == LOOP_BLOCKED_MESSAGE and line.host == final_line.host
    ]
    if not late:
        return ""
    longest = max(late, key=lambda line: line.fields.get("seconds", 0.0))
    seconds = longest.fields.get("seconds", 0.0)
    busy = longest.fields.get("cpu_seconds", 0.0) >= seconds * MIN_BUSY_FRACTION
    why = "busy with one task" if busy else "held up from outside"
    return f"; its host did nothing for {seconds:g} s meanwhile, {why}"


def _cause_of_no_route(timeline: RequestTimeline, final_line: LogLine) -> str:
    version = final_line.fields.get("version", -1)
    newest = timeline.newest
    if newest is not None and newest.fields.get("version", -1) > version:
        ago = final_line.at - newest.at
        return (
            f"the host served on version {version}, while {newest.host} had version "
            f"{newest.fields['version']} since {ago:.1f} s before"
        )
    return f"version {version} has no such route, and no host had a newer one"


def _cause_of_outcome(timeline: RequestTimeline, final_line: LogLine) -> str:
    fields = final_line.fields
    outcome = str(fields.get("outcome", ""))
    tries = [str(note) for note in fields.get("tries", ())]
    ended = [end for note in tries if (end := _try_end(note))]
    if outcome.startswith("refused_"):
        reason = outcome.removeprefix("refused_")
        why = REFUSALS.get(reason, reason) + _blocked_by(tries)
        return f"not run: {why}{_prior_tries(ended)}"
    match outcome:
        case "caller_left":
            return "the caller closed its connection"
        case "deadline" if not fields.get("sends"):
            return "its time was over before there was room for it"
        case "deadline":
            return f"its time was over before the answer was whole{_prior_tries(ended)}"
        case "may_have_run" | "stream_broken":
            # The last try may have been answered without the rest of the stream; then
            # the failed try before it is the cause.
            failed = [end for end in ended if end != "answered"] or ["unanswered"]
            cause = TRY_ENDS.get(failed[-1], failed[-1])
            if failed[-1] in CUT_ENDS and _crashed(timeline, tries):
                cause = "its target crashed"
            return f"{cause}; no further run brought it"
    return _cause_of_answer(fields, outcome, ended)


def _crashed(timeline: RequestTimeline, tries: list[str]) -> bool:
    """Return whether any host logged a crash of a target whose connection broke."""
    parts = [str(n) for part in timeline.parts for n in part.fields.get("tries", ())]
    cut_notes = [note for note in parts or tries if _try_end(note) in CUT_ENDS]
    crashed = {
        str(line.fields.get("target"))
        for line in timeline.beliefs
        if line.message == "target crashed"
    }
    return any(note.startswith(f"{name}@") for note in cut_notes for name in crashed)


def _cause_of_answer(fields: Mapping, outcome: str, ended: list[str]) -> str:
    first, objective = fields.get("first_event"), fields.get("objective") or 0.0
    first = fields.get("seconds", 0.0) if first is None else first
    gap, max_gap = fields.get("gap") or 0.0, fields.get("max_gap") or 0.0
    before = _prior_tries(ended)
    if outcome.startswith("answered_") and not outcome.endswith("_200"):
        return f"the target answered {outcome.removeprefix('answered_')}"
    if objective and first > objective:
        return f"late: its first answer took {first:g} s of {objective:g}{before}"
    if max_gap and gap > max_gap:
        return f"late: a pause of {gap:g} s, where {max_gap:g} are allowed{before}"
    return IN_TIME


def _blocked_by(notes: list[str]) -> str:
    """Return the fingerprint by which a request was blocked; empty if it wasn't."""
    found = [n.removeprefix(BLOCKED_NOTE) for n in notes if n.startswith(BLOCKED_NOTE)]
    return f" (by {found[-1]})" if found else ""


def _try_end(note: str) -> str:
    found = _END.search(note)
    return found.group(1) if found else ""


def _prior_tries(ended: list[str]) -> str:
    """Return a description of the failed tries; empty if there are none."""
    failed = [end for end in ended if end != "answered"]
    descriptions = []
    for end, group in groupby(failed):
        times = len(list(group))
        descriptions.append(
            TRY_ENDS.get(end, end) + (f" ({times} times)" if times > 1 else "")
        )
    return f"; before that, {', then '.join(descriptions)}" if descriptions else ""
