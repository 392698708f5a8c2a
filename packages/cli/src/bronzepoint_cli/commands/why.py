"""``bronzepoint why``: show the reasons behind the decision about a request."""

from datetime import UTC, datetime
from typing import Annotated

import typer

from bronzepoint_cli._gateway import path_part
from bronzepoint_cli._options import JsonOption
from bronzepoint_cli._output import print_json, print_table
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_schema.generated.decisions import (
    Candidate,
    DecisionRecord,
    Refusal,
    Try,
    WhyAnswer,
)


def why(
    context: typer.Context,
    request_id: Annotated[
        str, typer.Argument(help="From Bronzepoint-Request-Id, or an error's body.")
    ],
    json: JsonOption = False,
) -> None:
    """Show the decision about one request: candidates, choice, tries, refusal.

    Any host can answer this.

    Example: bronzepoint why bkk-1.bkk.0192d3c5a1b07c3e9f0a1b2c3d4e5f60
    """
    path = f"/v1/why/{path_part(request_id)}"
    answer = run_with_gateway(context, lambda gateway: gateway.get(path, WhyAnswer))
    if json:
        print_json(answer)
        return
    for record in answer.records:
        print_record(record)
    for part in answer.missing:
        print(f"missing: the part of {part.host} ({part.region}): {part.reason}")
        if part.remedy:
            print(f"  {part.remedy}")


def print_record(record: DecisionRecord) -> None:
    """Print one host's record of the decision."""
    arrived = datetime.fromtimestamp(record.arrived, UTC)
    print(f"{record.request_id} at {record.host} ({record.region})")
    fields = {
        "arrived": arrived.isoformat(timespec="milliseconds"),
        "forwarded from": record.forwarded_from,
        "caller": f"{record.caller} of {record.owner}, home {record.home}",
        "entry": f"{record.entry}, catalogue revision {record.revision}",
        "idempotent": "yes" if record.idempotent else "no",
        "choice": record.choice,
        "reason": record.reason,
        "outcome": _outcome(record),
    }
    for name, value in fields.items():
        if value:
            print(f"  {name}: {value}")
    for note in record.notes:
        print(f"  note: {note}")
    if record.refusal is not None:
        _print_refusal(record.refusal)
    if record.candidates:
        columns = ("CANDIDATE", "REGION", "SCORE", "EXCLUDED", "DETAIL")
        print_table(columns, map(_candidate_row, record.candidates))
    if record.tries:
        columns = ("TRY", "REGION", "FROM", "TO", "RESULT", "RETRY REASON", "DETAIL")
        print_table(columns, map(_try_row, record.tries))
    print()


def _outcome(record: DecisionRecord) -> str:
    status = f", status {record.status}" if record.status else ""
    return f"{record.outcome}{status} after {_ms(record.duration)}"


def _print_refusal(refusal: Refusal) -> None:
    print(f"  refused: {refusal.kind}: {refusal.message}")
    print(f"  remedy: {refusal.remedy}")
    print(f"  ran: {refusal.ran}")
    if refusal.retry_after > 0:
        print(f"  come back in: {refusal.retry_after:g} s")


def _candidate_row(candidate: Candidate) -> tuple[object, ...]:
    score = "" if candidate.excluded else f"{candidate.score:.4g}"
    excluded, detail = candidate.excluded, candidate.detail
    return candidate.name, candidate.region, score, excluded, detail


def _try_row(attempt: Try) -> tuple[object, ...]:
    return (
        attempt.target,
        attempt.region,
        _ms(attempt.started),
        _ms(attempt.ended),
        attempt.result,
        attempt.retry_reason,
        attempt.detail,
    )


def _ms(seconds: float) -> str:
    return f"{seconds * 1000:.1f} ms"


__all__ = ["why"]
