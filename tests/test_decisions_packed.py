"""Compact encoding of decision records, and their shortened copies."""

import math
import unittest

import msgspec
from nose2.tools import params

from bronzepoint_node.decisions._packed import pack_record, unpack_record
from bronzepoint_node.decisions._shortened import COPIED_CANDIDATES, shorten
from bronzepoint_schema.generated.decisions import (
    Candidate,
    DecisionRecord,
    ExclusionReason,
    Outcome,
    Ran,
    Refusal,
    RefusalKind,
    RetryReason,
    Try,
    TryResult,
)

RECORD = DecisionRecord(
    request_id="bkk-1.bkk.0192" + "0" * 28,
    host="bkk-1",
    region="bkk",
    arrived=1_800_000_000.1234,
    caller="stall",
    owner="saphan",
    entry="phrasebook",
    revision=7,
    forwarded_from="sgp-1",
    home="sgp",
    idempotent=False,
    candidates=[Candidate("e1", "bkk", 0.25, ExclusionReason.full, "8 of 8 slots")],
    choice="e2",
    reason="least wait",
    tries=[
        Try(
            target="e2",
            region="bkk",
            started=0.0012,
            result=TryResult.cut,
            ended=1.5,
            retry_reason=RetryReason.target_error,
            detail="cut after 3 events",
        )
    ],
    outcome=Outcome.refused,
    status=502,
    refusal=Refusal(RefusalKind.answer_cut, "cut", "again", Ran.unknown, 1.0, "id"),
    notes=["limits: 3 of 5"],
    duration=1.6,
)
DEFAULTS = DecisionRecord("a.b." + "0" * 32, "a", "b", 0.0)


def candidates(*pairs):
    return [Candidate(name, "bkk", 0.5, excluded) for name, excluded in pairs]


class PackedTest(unittest.TestCase):
    @params(RECORD, DEFAULTS)
    def test_packing_keeps_all_fields(self, record):
        self.assertEqual(unpack_record(pack_record(record)), record)

    @params((RECORD, DEFAULTS), (RECORD.tries[0], Try("", "", 0.0, TryResult.failed)))
    def test_example_sets_every_field(self, example, plain):
        """A new field of a record must also be added to the compact form."""
        for name in example.__struct_fields__:
            with self.subTest(name):
                self.assertNotEqual(getattr(example, name), getattr(plain, name))

    @params(math.inf, -math.inf, math.nan, 1e300)
    def test_any_score_can_be_packed(self, score):
        """Guards against a request that fails because a score can't be encoded."""
        record = msgspec.structs.replace(DEFAULTS)
        record.candidates = [Candidate("e1", "bkk", score)]
        unpack_record(pack_record(record))


class AbridgedTest(unittest.TestCase):
    def test_copy_keeps_the_choice_and_excluded_candidates(self):
        worse = [(f"w{i}", ExclusionReason.worse) for i in range(6)]
        record = msgspec.structs.replace(
            RECORD,
            candidates=candidates(
                *worse, ("full", ExclusionReason.full), ("chosen", None)
            ),
            choice="chosen",
        )
        shortened = shorten(record)
        names = [item.name for item in shortened.candidates]
        self.assertEqual(len(names), COPIED_CANDIDATES)
        self.assertIn("chosen", names)
        self.assertIn("full", names)
        self.assertIn("5 more candidates on bkk-1", shortened.notes[-1])
        self.assertEqual(len(record.candidates), 8)

    def test_short_record_is_unchanged(self):
        self.assertIs(shorten(RECORD), RECORD)
