"""Why a request ended as it did."""

import re
from collections.abc import Mapping
from itertools import groupby

from bronzepoint_cli.explain._log_lines import LogLine
from bronzepoint_cli.explain._story import Story

REFUSALS: Mapping[str, str] = {
    "no_catalogue": "nothing confirmed was in force on the host yet",
    "no_room": "no target of its region and no other region had room",
    "no_time": "its stream would not have ended by its deadline on any target",
    "retries_used_up": "all tries were turned away, and no repeat was left",
    "leaving": "the host was ending",
    "unauthenticated": "no organisation holds its API key, by the catalogue in force",
    "key_unconfirmed": "its API key isn't known, and the host may have lagged behind",
    "route_unconfirmed": "it has no route that the host knows, and the host may have "
    "lagged behind",
    "lagging": "the host didn't keep up with its work",
    "over_quota": "its organisation has used up its quota over all hosts",
    "held": "targets crashed as they ran it, and it reaches none for some time",
}
"""What each reason of a refusal means; the request did not run."""
TRY_ENDS: Mapping[str, str] = {
    "connect_failed": "no connection was made",
    "not_sent": "the connection broke before anything was written",
    "rejected": "the target turned it away",
    "replaced": "another start of the target answered",
    "region_refused": "the other region had no room",
    "held": "the other region holds it back, as targets crashed when they ran it",
    "cut": "the connection broke after it was sent, so it may have run",
    "malformed": "the answer wasn't HTTP",
    "other_answer": "the answer belonged to another request",
    "timeout": "no answer came in time",
    "lost": "the target or host fell silent",
}
"""What each end of a try means."""
IN_TIME = "answered in time"
STOOD_STILL = "event loop late"
"""Line of a host that answered nobody for a while."""
BUSY_SHARE = 0.5
"""Part of that time in which it must have used the processor to have caused it."""
_END = re.compile(r" -> ([a-z_]+?)(?:_[0-9]+)?(?:, ended)?$")


def find_cause(story: Story) -> str:
    """Return one line on why a request ended as it did."""
    last = story.last
    if last is None:
        return (
            "no host wrote a line of it: it reached none of them, or its host was "
            "killed before it ended"
        )
    match last.message:
        case "no route":
            return _cause_of_no_route(story, last)
        case "refused":
            reason = str(last.fields.get("reason", ""))
            return f"not run: {REFUSALS.get(reason, reason)}"
        case "answer failed":
            return f"a fault of the host: {last.fields.get('reason', '')}"
    cause = _cause_of_outcome(story, last)
    return cause if cause == IN_TIME else cause + _stood_still(story, last)


def _stood_still(story: Story, last: LogLine) -> str:
    """Return for how long the host that answered did nothing; empty: for no time."""
    late = [
        line
        for line in story.beliefs
        if line.message == STOOD_STILL and line.host == last.host
    ]
    if not late:
        return ""
    longest = max(late, key=lambda line: line.fields.get("seconds", 0.0))
    seconds = longest.fields.get("seconds", 0.0)
    busy = longest.fields.get("cpu_seconds", 0.0) >= seconds * BUSY_SHARE
    why = "busy with one task" if busy else "held up from outside"
    return f"; its host did nothing for {seconds:g} s meanwhile, {why}"


def _cause_of_no_route(story: Story, last: LogLine) -> str:
    version = last.fields.get("version", -1)
    newest = story.newest
    if newest is not None and newest.fields.get("version", -1) > version:
        ago = last.at - newest.at
        return (
            f"the host served on version {version}, while {newest.host} had version "
            f"{newest.fields['version']} since {ago:.1f} s before"
        )
    return f"version {version} has no such route, and no host had a newer one"


def _cause_of_outcome(story: Story, last: LogLine) -> str:
    fields = last.fields
    outcome = str(fields.get("outcome", ""))
    tries = [str(note) for note in fields.get("tries", ())]
    ended = [end for note in tries if (end := _try_end(note))]
    if outcome.startswith("refused_"):
        reason = outcome.removeprefix("refused_")
        return f"not run: {REFUSALS.get(reason, reason)}{_after(ended)}"
    match outcome:
        case "caller_left":
            return "the caller closed its connection"
        case "deadline" if not fields.get("sends"):
            return "its time was over before there was room for it"
        case "deadline":
            return f"its time was over before the answer was whole{_after(ended)}"
        case "may_have_run" | "stream_broken":
            # After an answer without the rest, the try before it is the cause.
            failed = [end for end in ended if end != "answered"] or ["unanswered"]
            said = TRY_ENDS.get(failed[-1], failed[-1])
            if failed[-1] == "cut" and _crashed(story, tries):
                said = "its target crashed"
            return f"{said}; no further run brought it"
    return _cause_of_answer(fields, outcome, ended)


def _crashed(story: Story, tries: list[str]) -> bool:
    """Tell whether a host saw the target of the last try at one crash."""
    parts = [str(n) for part in story.parts for n in part.fields.get("tries", ())]
    cut = [note for note in parts or tries if _try_end(note) == "cut"]
    crashed = {
        str(line.fields.get("target"))
        for line in story.beliefs
        if line.message == "target crashed"
    }
    return any(note.startswith(f"{name}@") for note in cut for name in crashed)


def _cause_of_answer(fields: Mapping, outcome: str, ended: list[str]) -> str:
    first, objective = fields.get("first_event"), fields.get("objective") or 0.0
    first = fields.get("seconds", 0.0) if first is None else first
    gap, most = fields.get("gap") or 0.0, fields.get("max_gap") or 0.0
    before = _after(ended)
    if outcome.startswith("answered_") and not outcome.endswith("_200"):
        return f"the target answered {outcome.removeprefix('answered_')}"
    if objective and first > objective:
        return f"late: its first answer took {first:g} s of {objective:g}{before}"
    if most and gap > most:
        return f"late: a pause of {gap:g} s, where {most:g} are allowed{before}"
    return IN_TIME


def _try_end(note: str) -> str:
    found = _END.search(note)
    return found.group(1) if found else ""


def _after(ended: list[str]) -> str:
    """Return how the tries went that failed before; empty: none did."""
    failed = [end for end in ended if end != "answered"]
    told = []
    for end, group in groupby(failed):
        times = len(list(group))
        told.append(TRY_ENDS.get(end, end) + (f" ({times} times)" if times > 1 else ""))
    return f"; before that, {', then '.join(told)}" if told else ""
