"""Checks a history against what must always hold."""

from collections import defaultdict
from collections.abc import Iterator

from msgspec import Struct

from bronzepoint_emulator.soak._history import (
    CallEvent,
    CallKind,
    ChangeEvent,
    Ending,
    Event,
    FinalState,
    History,
    ViewEvent,
)


class Violation(Struct):
    """Something that must not be, and the events that show it."""

    rule: str
    what: str
    events: list[Event]


def check(history: History, final: FinalState) -> list[Violation]:
    """Return every violation of a run."""
    return [
        *_settled(final),
        *_revisions(history),
        *_changes(history, final),
        *_answers(history),
        *_runs(history, final),
    ]


def _settled(final: FinalState) -> Iterator[Violation]:
    for what in final.unsettled:
        yield Violation("settles after the faults", what, [])


def _revisions(history: History) -> Iterator[Violation]:
    """A host that says it is ready never shows an older revision than before."""
    newest: dict[str, ViewEvent] = {}
    for view in history.of(ViewEvent):
        before = newest.get(view.host)
        if before is not None and view.revision < before.revision:
            what = f"{view.host} showed {before.revision}, then {view.revision}"
            yield Violation("revisions never go back", what, [before, view])
        newest[view.host] = view


def _changes(history: History, final: FinalState) -> Iterator[Violation]:
    """Accepted changes stay, one for each version, answered alike each time."""
    by_id: dict[str, list[ChangeEvent]] = defaultdict(list)
    for change in history.of(ChangeEvent):
        by_id[change.change_id].append(change)
    accepted = {
        change_id: [c for c in tries if c.ending is Ending.answered]
        for change_id, tries in by_id.items()
    }
    for change_id, answers in accepted.items():
        yield from _answered_alike(by_id[change_id], answers)
    winners = {
        answers[0].version: answers[0] for answers in accepted.values() if answers
    }
    for answers in accepted.values():
        if answers and winners[answers[0].version].value != answers[0].value:
            what = f"version {answers[0].version} was accepted twice"
            pair = [winners[answers[0].version], answers[0]]
            yield Violation("one change for each version", what, pair)
    yield from _shown_values(history, winners)
    yield from _kept(winners, final)


def _answered_alike(
    tries: list[ChangeEvent], answers: list[ChangeEvent]
) -> Iterator[Violation]:
    if len({answer.revision for answer in answers}) > 1:
        what = f"change {tries[0].change_id} was accepted at different revisions"
        yield Violation("a change is applied once", what, list(answers))
    refused = [change for change in tries if change.ending is Ending.refused]
    if answers and refused:
        what = f"change {tries[0].change_id} was accepted and refused"
        yield Violation("a change is answered as at first", what, list(tries))


def _shown_values(
    history: History, winners: dict[int, ChangeEvent]
) -> Iterator[Violation]:
    """Hosts agree on what each version is."""
    shown: dict[int, ViewEvent] = {}
    for view in history.of(ViewEvent):
        winner = winners.get(view.version)
        if winner is not None and winner.value != view.value:
            what = f"{view.host} shows another change as version {view.version}"
            yield Violation("hosts show what was accepted", what, [winner, view])
        first = shown.setdefault(view.version, view)
        if first.value != view.value:
            what = f"{first.host} and {view.host} differ on version {view.version}"
            yield Violation("hosts show the same", what, [first, view])


def _kept(winners: dict[int, ChangeEvent], final: FinalState) -> Iterator[Violation]:
    if not winners:
        return
    last = winners[max(winners)]
    for host, version in final.versions.items():
        lost = version < last.version
        replaced = version == last.version and final.values[host] != last.value
        if lost or replaced:
            what = f"{host} ends at version {version} without change {last.change_id}"
            yield Violation("accepted changes are never lost", what, [last])


def _answers(history: History) -> Iterator[Violation]:
    """Each answer is whole and to its own request; a key has one answer."""
    bodies: dict[str, CallEvent] = {}
    for call in history.of(CallEvent):
        if call.ending is not Ending.answered:
            continue
        if call.echo != call.nonce:
            what = f"{call.request_id} got the answer to {call.echo!r}"
            yield Violation("answers go to their own callers", what, [call])
        if not call.whole:
            what = f"{call.request_id} got a part as if it were whole"
            yield Violation("answers are whole", what, [call])
        if call.key:
            first = bodies.setdefault(call.key, call)
            if first.body != call.body:
                what = f"key {call.key} was answered in two ways"
                yield Violation("a key has one answer", what, [first, call])


def _runs(history: History, final: FinalState) -> Iterator[Violation]:
    """What ran where and how often, by the targets' own counts."""
    tries: dict[str, list[CallEvent]] = defaultdict(list)
    for call in history.of(CallEvent):
        tries[call.nonce].append(call)
    for nonce, calls in tries.items():
        yield from _check_runs(calls, final.runs_of(nonce), final.target_regions)


def _check_runs(
    calls: list[CallEvent], runs: dict[str, int], regions: dict[str, str]
) -> Iterator[Violation]:
    first = calls[0]
    events: list[Event] = list(calls)
    total = sum(runs.values())
    if first.kind is CallKind.save and total > 1:
        yield Violation("at most once", f"{first.nonce} ran: {runs}", events)
    answered = [call for call in calls if call.ending is Ending.answered]
    if answered and not total:
        yield Violation("answers come from a run", f"{first.nonce} never ran", events)
    if total and all(call.ran == "no" for call in calls):
        what = f"{first.nonce} was said not to have run, and ran: {runs}"
        yield Violation("refusals are true", what, events)
    away = {target for target in runs if regions[target] != first.home}
    if first.kind is not CallKind.chat and away:
        what = f"{first.nonce} of {first.home} ran at {', '.join(sorted(away))}"
        yield Violation("residency holds", what, events)
