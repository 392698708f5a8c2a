"""Deltas of documents, and their way to an entry host in parts."""

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
    def test_a_changed_route_costs_the_same_in_any_catalogue(self, routes):
        former = large_manifest(1, routes)
        delta = make_delta(2, large_manifest(2, routes, {routes // 2}), 1, former)
        self.assertLess(len(delta.pieces), 1000)


class TestHistory(unittest.TestCase):
    def setUp(self):
        self.history = DocumentHistory()
        for version in (2, 5, 9):
            self.history.replace(version, large_manifest(version, 5))

    @params((9, []), (5, [9]), (2, [5, 9]), (3, None), (NO_BASE, None))
    def test_what_leads_on_from_a_version(self, held, versions):
        deltas = self.history.since(held)
        found = None if deltas is None else [delta.version for delta in deltas]
        self.assertEqual(found, versions)

    def test_deltas_lead_to_the_same_document(self):
        other = DocumentHistory(2, large_manifest(2, 5))
        for delta in self.history.since(2):
            other.take(delta)
        self.assertEqual(other.content, self.history.content)

    def test_a_delta_of_another_version_is_refused(self):
        (last,) = self.history.since(5)
        with self.assertRaises(UnknownBase):
            DocumentHistory(2, large_manifest(2, 5)).take(last)

    def test_old_deltas_are_dropped(self):
        small = DocumentHistory(kept_bytes=1000)
        for version in range(1, 100):
            small.replace(version, large_manifest(version, 5, {version % 5}))
        self.assertIsNone(small.since(1))
        self.assertIsNotNone(small.since(98))


class Transfer:
    """An entry host that is sent a document by hosts of the core."""

    def __init__(self, *cores):
        self.copy = DocumentCopy()
        self.feeds = {core: DocumentFeed() for core in cores}

    def ask(self, core, documents):
        """Return whether the answer brought something."""
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

    def test_a_whole_document_comes_in_parts(self):
        while self.transfer.ask("c1", self.documents):
            pass
        self.assertEqual(self.transfer.copy.content, self.documents.content)
        self.assertFalse(self.transfer.ask("c1", self.documents))

    def test_changes_meanwhile_don_t_begin_it_anew(self):
        """A host that starts while the catalogue changes more often than it can be
        sent would otherwise never know what is served."""
        asked = 0
        while self.transfer.copy.version < self.documents.version:
            self.assertTrue(self.transfer.ask("c1", self.documents))
            asked += 1
            if asked <= 20:
                self.change(1 + asked)
        whole = len(msgspec.msgpack.encode([self.documents.whole()]))
        self.assertGreater(whole, 2 * PART_BYTES)
        self.assertLessEqual(asked, 25)
        self.assertEqual(self.transfer.copy.content, self.documents.content)

    def test_another_host_goes_on_where_one_was_lost(self):
        self.transfer.ask("c1", self.documents)
        self.assertEqual(self.transfer.copy.wanted_from("c2"), NO_PART)
        self.transfer.copy.release("c1")
        self.assertEqual(self.transfer.copy.wanted_from("c2"), PART_BYTES)
        # Its first answer begins at the start, since it hasn't made this feed yet.
        while not self.transfer.ask("c2", self.documents):
            pass
        while self.transfer.copy.version < 1:
            self.transfer.ask("c2", self.documents)
        self.assertEqual(self.transfer.copy.content, self.documents.content)

    @params("pieces", "digest")
    def test_a_damaged_document_is_asked_for_again(self, field):
        (delta,) = [self.documents.whole()]
        damaged = {"pieces": b"?", "digest": delta.digest ^ 1}[field]
        delta = msgspec.structs.replace(delta, **{field: damaged})
        content = msgspec.msgpack.encode([delta])
        part = self.transfer.feeds["c1"].next_part(self.documents, NO_BASE, NO_BASE, 0)
        part = msgspec.structs.replace(part, size=len(content), content=content)
        self.assertFalse(self.transfer.copy.take("c1", part, 0.1))
        self.assertEqual(self.transfer.copy.version, NO_BASE)
        while self.transfer.ask("c1", self.documents):
            pass
        self.assertEqual(self.transfer.copy.content, self.documents.content)


if __name__ == "__main__":
    unittest.main()
