"""Compact encoding of decision records for storage and copying.

Encoded with field names and 8-byte numbers, a record takes 1.4 kB in MessagePack. The
compact form encodes fields by position, times as multiples of 0.1 ms, and scores as
multiples of 0.0001.
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

STEPS_PER_UNIT = 10_000
"""Encoded steps per second, or per score of 1."""
MAX_NUMBER = 1e14
"""Limit of encoded numbers in seconds or score; larger ones, including infinity, are
stored as this value."""


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
    """Encode a record in the compact form."""
    packed = _PackedRecord(
        request_id=record.request_id,
        host=record.host,
        region=record.region,
        arrived=_to_steps(record.arrived),
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
        duration=_to_steps(record.duration),
    )
    return _encoder.encode(packed)


def unpack_record(data: bytes) -> DecisionRecord:
    """Decode a record from the compact form."""
    packed = _decoder.decode(data)
    return DecisionRecord(
        request_id=packed.request_id,
        host=packed.host,
        region=packed.region,
        arrived=packed.arrived / STEPS_PER_UNIT,
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
        duration=packed.duration / STEPS_PER_UNIT,
    )


def _pack_candidate(candidate: Candidate) -> _PackedCandidate:
    return _PackedCandidate(
        candidate.name,
        candidate.region,
        _to_steps(candidate.score),
        candidate.excluded,
        candidate.detail,
    )


def _unpack_candidate(packed: _PackedCandidate) -> Candidate:
    return Candidate(
        packed.name,
        packed.region,
        packed.score / STEPS_PER_UNIT,
        packed.excluded,
        packed.detail,
    )


def _pack_try(attempt: Try) -> _PackedTry:
    return _PackedTry(
        attempt.target,
        attempt.region,
        _to_steps(attempt.started),
        attempt.result,
        _to_steps(attempt.ended),
        attempt.retry_reason,
        attempt.detail,
    )


def _unpack_try(packed: _PackedTry) -> Try:
    return Try(
        packed.target,
        packed.region,
        packed.started / STEPS_PER_UNIT,
        packed.result,
        packed.ended / STEPS_PER_UNIT,
        packed.retry_reason,
        packed.detail,
    )


def _to_steps(value: float) -> int:
    """Return a number in steps, limited to MAX_NUMBER; NaN becomes 0."""
    if math.isnan(value):
        return 0
    return round(min(max(value, -MAX_NUMBER), MAX_NUMBER) * STEPS_PER_UNIT)
