"""Checks a history against the invariants of the gateway."""

from collections import defaultdict
from collections.abc import Iterator

from msgspec import Struct

from bronzepoint_emulator.soak._history import (
    CallEvent,
    CallKind,
    CallOutcome,
    ChangeEvent,
    Event,
    FinalState,
    History,
    ViewEvent,
)


class Violation(Struct):
    """A violated rule and the events that show it."""

    rule: str
    what: str
    events: list[Event]


def check(history: History, final: FinalState) -> list[Violation]:
    """Return every violation of a run."""
    return [
        *_check_recovery(final),
        *_check_revisions(history),
        *_check_changes(history, final),
        *_check_answers(history),
        *_check_runs(history, final),
    ]


def _check_recovery(final: FinalState) -> Iterator[Violation]:
    for what in final.unsettled:
        yield Violation("recovers after the faults", what, [])


def _check_revisions(history: History) -> Iterator[Violation]:
    """A host that reports ready never returns to an older revision."""
    newest: dict[str, ViewEvent] = {}
    for view in history.of(ViewEvent):
        before = newest.get(view.host)
        if before is not None and view.revision < before.revision:
            what = f"{view.host} showed {before.revision}, then {view.revision}"
            yield Violation("revisions never go back", what, [before, view])
        newest[view.host] = view


def _check_changes(history: History, final: FinalState) -> Iterator[Violation]:
    """Accepted changes persist, one per version, with consistent answers."""
    by_id: dict[str, list[ChangeEvent]] = defaultdict(list)
    for change in history.of(ChangeEvent):
        by_id[change.change_id].append(change)
    accepted = {
        change_id: [c for c in attempts if c.outcome is CallOutcome.answered]
        for change_id, attempts in by_id.items()
    }
    for change_id, answers in accepted.items():
        yield from _check_consistent_answers(by_id[change_id], answers)
    winners = {
        answers[0].version: answers[0] for answers in accepted.values() if answers
    }
    for answers in accepted.values():
        if answers and winners[answers[0].version].value != answers[0].value:
            what = f"version {answers[0].version} was accepted twice"
            pair = [winners[answers[0].version], answers[0]]
            yield Violation("one change for each version", what, pair)
    yield from _check_shown_values(history, winners)
    yield from _check_persistence(winners, final)


def _check_consistent_answers(
    attempts: list[ChangeEvent], answers: list[ChangeEvent]
) -> Iterator[Violation]:
    if len({answer.revision for answer in answers}) > 1:
        what = f"change {attempts[0].change_id} was accepted at different revisions"
        yield Violation("a change is applied once", what, list(answers))
    refused = [change for change in attempts if change.outcome is CallOutcome.refused]
    if answers and refused:
        what = f"change {attempts[0].change_id} was accepted and refused"
        yield Violation("a change is answered consistently", what, list(attempts))


def _check_shown_values(
    history: History, winners: dict[int, ChangeEvent]
) -> Iterator[Violation]:
    """Hosts agree on the content of each version."""
    shown: dict[int, ViewEvent] = {}
    for view in history.of(ViewEvent):
        winner = winners.get(view.version)
        if winner is not None and winner.value != view.value:
            what = f"{view.host} shows another change as version {view.version}"
            yield Violation("hosts show accepted changes", what, [winner, view])
        first = shown.setdefault(view.version, view)
        if first.value != view.value:
            what = f"{first.host} and {view.host} differ on version {view.version}"
            yield Violation("hosts agree on each version", what, [first, view])


def _check_persistence(
    winners: dict[int, ChangeEvent], final: FinalState
) -> Iterator[Violation]:
    if not winners:
        return
    last = winners[max(winners)]
    for host, version in final.versions.items():
        lost = version < last.version
        replaced = version == last.version and final.values[host] != last.value
        if lost or replaced:
            what = f"{host} ends at version {version} without change {last.change_id}"
            yield Violation("accepted changes are never lost", what, [last])


def _check_answers(history: History) -> Iterator[Violation]:
    """Answers are complete and match their requests; a key has one answer."""
    bodies: dict[str, CallEvent] = {}
    for call in history.of(CallEvent):
        if call.outcome is not CallOutcome.answered:
            continue
        if call.echo != call.nonce:
            what = f"{call.request_id} got the answer to {call.echo!r}"
            yield Violation("answers match their requests", what, [call])
        if not call.whole:
            what = f"{call.request_id} got a truncated answer without an error"
            yield Violation("answers are complete", what, [call])
        if call.key:
            first = bodies.setdefault(call.key, call)
            if first.body != call.body:
                what = f"key {call.key} got two different answers"
                yield Violation("a key has one answer", what, [first, call])


def _check_runs(history: History, final: FinalState) -> Iterator[Violation]:
    """Checks the runs of each request, as counted by the targets."""
    attempts: dict[str, list[CallEvent]] = defaultdict(list)
    for call in history.of(CallEvent):
        attempts[call.nonce].append(call)
    for nonce, calls in attempts.items():
        yield from _check_runs_of_nonce(
            calls, final.runs_of(nonce), final.target_regions
        )


def _check_runs_of_nonce(
    calls: list[CallEvent], runs: dict[str, int], regions: dict[str, str]
) -> Iterator[Violation]:
    first = calls[0]
    events: list[Event] = list(calls)
    total = sum(runs.values())
    if first.kind is CallKind.save and total > 1:
        yield Violation("at most once", f"{first.nonce} ran: {runs}", events)
    answered = [call for call in calls if call.outcome is CallOutcome.answered]
    if answered and not total:
        yield Violation("answered requests ran", f"{first.nonce} never ran", events)
    if total and all(call.ran == "no" for call in calls):
        what = f"{first.nonce} was refused as not run, but ran: {runs}"
        yield Violation("refusals are accurate", what, events)
    remote = {target for target in runs if regions[target] != first.home}
    if first.kind is not CallKind.chat and remote:
        what = f"{first.nonce} of {first.home} ran at {', '.join(sorted(remote))}"
        yield Violation("residency holds", what, events)
