"""Compact form of a record, for keeping and copying many.

A record as it is shown takes 1.4 kB in MessagePack, most of it field names and 8-byte
numbers. Here fields go by position, times are whole steps of 0.1 ms, scores of 0.0001.
"""

import math

import msgspec
from msgspec import Struct

from bronzepoint_schema.generated.decisions import (
    Candidate,
    DecisionRecord,
    ExclusionReason,
    Outcome,
    Refusal,
    RetryReason,
    Try,
    TryResult,
)
from bronzepoint_schema.ids import HostName, RegionName, RequestId

STEPS = 10_000
"""Steps to a second, and to a score of 1."""
LARGEST = 1e14
"""Larger numbers, infinity too, are kept as this one."""


class _PackedCandidate(Struct, array_like=True):
    name: str
    region: RegionName
    score: int
    excluded: ExclusionReason | None
    detail: str


class _PackedTry(Struct, array_like=True):
    target: str
    region: RegionName
    started: int
    result: TryResult
    ended: int
    retry_reason: RetryReason | None
    detail: str


class _PackedRecord(Struct, array_like=True):
    request_id: RequestId
    host: HostName
    region: RegionName
    arrived: int
    caller: str
    owner: str
    entry: str
    revision: int
    forwarded_from: str
    home: str
    idempotent: bool
    candidates: list[_PackedCandidate]
    choice: str
    reason: str
    tries: list[_PackedTry]
    outcome: Outcome
    status: int
    refusal: Refusal | None
    notes: list[str]
    duration: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_PackedRecord)


def pack_record(record: DecisionRecord) -> bytes:
    """Return the compact form of a record."""
    packed = _PackedRecord(
        request_id=record.request_id,
        host=record.host,
        region=record.region,
        arrived=_steps(record.arrived),
        caller=record.caller,
        owner=record.owner,
        entry=record.entry,
        revision=record.revision,
        forwarded_from=record.forwarded_from,
        home=record.home,
        idempotent=record.idempotent,
        candidates=[_pack_candidate(candidate) for candidate in record.candidates],
        choice=record.choice,
        reason=record.reason,
        tries=[_pack_try(attempt) for attempt in record.tries],
        outcome=record.outcome,
        status=record.status,
        refusal=record.refusal,
        notes=record.notes,
        duration=_steps(record.duration),
    )
    return _encoder.encode(packed)


def unpack_record(data: bytes) -> DecisionRecord:
    """Return the record of a compact form."""
    packed = _decoder.decode(data)
    return DecisionRecord(
        request_id=packed.request_id,
        host=packed.host,
        region=packed.region,
        arrived=packed.arrived / STEPS,
        caller=packed.caller,
        owner=packed.owner,
        entry=packed.entry,
        revision=packed.revision,
        forwarded_from=packed.forwarded_from,
        home=packed.home,
        idempotent=packed.idempotent,
        candidates=[_unpack_candidate(candidate) for candidate in packed.candidates],
        choice=packed.choice,
        reason=packed.reason,
        tries=[_unpack_try(attempt) for attempt in packed.tries],
        outcome=packed.outcome,
        status=packed.status,
        refusal=packed.refusal,
        notes=packed.notes,
        duration=packed.duration / STEPS,
    )


def _pack_candidate(candidate: Candidate) -> _PackedCandidate:
    return _PackedCandidate(
        candidate.name,
        candidate.region,
        _steps(candidate.score),
        candidate.excluded,
        candidate.detail,
    )


def _unpack_candidate(packed: _PackedCandidate) -> Candidate:
    return Candidate(
        packed.name,
        packed.region,
        packed.score / STEPS,
        packed.excluded,
        packed.detail,
    )


def _pack_try(attempt: Try) -> _PackedTry:
    return _PackedTry(
        attempt.target,
        attempt.region,
        _steps(attempt.started),
        attempt.result,
        _steps(attempt.ended),
        attempt.retry_reason,
        attempt.detail,
    )


def _unpack_try(packed: _PackedTry) -> Try:
    return Try(
        packed.target,
        packed.region,
        packed.started / STEPS,
        packed.result,
        packed.ended / STEPS,
        packed.retry_reason,
        packed.detail,
    )


def _steps(value: float) -> int:
    """Return a number in steps; one that can't be told as the nearest that can."""
    if math.isnan(value):
        return 0
    return round(min(max(value, -LARGEST), LARGEST) * STEPS)
