"""Deltas of documents, and their transfer to an entry host in parts."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzepoint_common.documents import (
    NO_BASE,
    DeltaMismatch,
    DocumentHistory,
    UnknownBase,
    apply_delta,
    make_delta,
)
from bronzepoint_node.core._document_feed import PART_BYTES, DocumentFeed
from bronzepoint_node.fleet._document_copy import NO_PART, DocumentCopy
from bronzepoint_schema.generated.documents import DocumentDelta
from tests._large_manifest import large_manifest

SECTIONS = st.lists(st.sampled_from([b"{a}", b"{b", b"}", b"x", b"{long}}"]))
DOCUMENTS = SECTIONS.map(b"".join) | st.binary(max_size=200)


class TestDelta(unittest.TestCase):
    @given(DOCUMENTS, DOCUMENTS)
    def test_it_leads_to_what_it_was_made_from(self, content, base):
        self.assertEqual(apply_delta(make_delta(2, content, 1, base), base), content)
        self.assertEqual(apply_delta(make_delta(2, content)), content)

    @given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def test_another_base_is_noticed(self, content, base, other):
        delta = make_delta(2, content, 1, base)
        try:
            self.assertEqual(apply_delta(delta, other), content)
        except DeltaMismatch:
            pass

    @given(st.binary(max_size=50))
    def test_damage_is_noticed(self, pieces):
        whole = make_delta(2, b"{a}{b}")
        with self.assertRaises(DeltaMismatch):
            apply_delta(DocumentDelta(2, NO_BASE, whole.digest, pieces))

    @params(140, 1400, 14000)
    def test_delta_of_a_changed_route_is_small_in_any_catalogue(self, routes):
        previous = large_manifest(1, routes)
        delta = make_delta(2, large_manifest(2, routes, {routes // 2}), 1, previous)
        self.assertLess(len(delta.pieces), 1000)


class TestHistory(unittest.TestCase):
    def setUp(self):
        self.history = DocumentHistory()
        for version in (2, 5, 9):
            self.history.replace(version, large_manifest(version, 5))

    @params((9, []), (5, [9]), (2, [5, 9]), (3, None), (NO_BASE, None))
    def test_deltas_since_a_version(self, held, versions):
        deltas = self.history.since(held)
        found = None if deltas is None else [delta.version for delta in deltas]
        self.assertEqual(found, versions)

    def test_deltas_lead_to_the_same_document(self):
        other = DocumentHistory(2, large_manifest(2, 5))
        for delta in self.history.since(2):
            other.take(delta)
        self.assertEqual(other.content, self.history.content)

    def test_a_delta_of_another_version_is_rejected(self):
        (last,) = self.history.since(5)
        with self.assertRaises(UnknownBase):
            DocumentHistory(2, large_manifest(2, 5)).take(last)

    def test_old_deltas_are_dropped(self):
        small = DocumentHistory(max_delta_bytes=1000)
        for version in range(1, 100):
            small.replace(version, large_manifest(version, 5, {version % 5}))
        self.assertIsNone(small.since(1))
        self.assertIsNotNone(small.since(98))


class Transfer:
    """Transfers a document from hosts of the core to an entry host."""

    def __init__(self, *cores):
        self.copy = DocumentCopy()
        self.feeds = {core: DocumentFeed() for core in cores}

    def query(self, core, documents):
        """Request the next part; return whether the answer contained data."""
        offset = self.copy.wanted_from(core)
        if offset == NO_PART:
            return self.copy.take(core, None, 0.0)
        held, transfer = self.copy.version, self.copy.transfer
        part = self.feeds[core].next_part(documents, held, transfer.version, offset)
        self.assert_bounded(part)
        return self.copy.take(core, part, 0.1)

    def assert_bounded(self, part):
        assert part is None or len(part.content) <= PART_BYTES


class TestTransfer(unittest.TestCase):
    def setUp(self):
        self.documents = DocumentHistory()
        self.documents.replace(1, large_manifest(1, 6000))
        self.transfer = Transfer("c1", "c2")

    def change(self, version):
        self.documents.replace(version, large_manifest(version, 6000, {version}))

    def test_a_whole_document_is_sent_in_parts(self):
        while self.transfer.query("c1", self.documents):
            pass
        self.assertEqual(self.transfer.copy.content, self.documents.content)
        self.assertFalse(self.transfer.query("c1", self.documents))

    def test_changes_during_a_transfer_do_not_restart_it(self):
        """Guards against a starting host that never gets the catalogue because the
        catalogue changes faster than it can be sent."""
        queries = 0
        while self.transfer.copy.version < self.documents.version:
            self.assertTrue(self.transfer.query("c1", self.documents))
            queries += 1
            if queries <= 20:
                self.change(1 + queries)
        whole = len(msgspec.msgpack.encode([self.documents.whole()]))
        self.assertGreater(whole, 2 * PART_BYTES)
        self.assertLessEqual(queries, 25)
        self.assertEqual(self.transfer.copy.content, self.documents.content)

    def test_another_host_resumes_an_interrupted_transfer(self):
        self.transfer.query("c1", self.documents)
        self.assertEqual(self.transfer.copy.wanted_from("c2"), NO_PART)
        self.transfer.copy.release("c1")
        self.assertEqual(self.transfer.copy.wanted_from("c2"), PART_BYTES)
        # The first answer of c2 begins at the start, since its feed doesn't exist yet.
        while not self.transfer.query("c2", self.documents):
            pass
        while self.transfer.copy.version < 1:
            self.transfer.query("c2", self.documents)
        self.assertEqual(self.transfer.copy.content, self.documents.content)

    @params("pieces", "digest")
    def test_a_damaged_document_is_requested_again(self, field):
        (delta,) = [self.documents.whole()]
        damaged = {"pieces": b"?", "digest": delta.digest ^ 1}[field]
        delta = msgspec.structs.replace(delta, **{field: damaged})
        content = msgspec.msgpack.encode([delta])
        part = self.transfer.feeds["c1"].next_part(self.documents, NO_BASE, NO_BASE, 0)
        part = msgspec.structs.replace(part, size=len(content), content=content)
        self.assertFalse(self.transfer.copy.take("c1", part, 0.1))
        self.assertEqual(self.transfer.copy.version, NO_BASE)
        while self.transfer.query("c1", self.documents):
            pass
        self.assertEqual(self.transfer.copy.content, self.documents.content)


if __name__ == "__main__":
    unittest.main()
