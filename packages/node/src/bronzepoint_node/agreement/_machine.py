"""The replicated state: what every voter computes from the same log."""

import heapq
from collections.abc import Iterable

import msgspec

from bronzepoint_common.documents import DocumentHistory
from bronzepoint_common.items import item_kind
from bronzepoint_node.catalogue import (
    ItemKey,
    item_key,
    make_delta,
    patched,
)
from bronzepoint_schema.generated.agreement import (
    Accepted,
    Change,
    ChangeBody,
    ChangeResult,
    CloseDataCenter,
    Conflicted,
    Delta,
    Expired,
    ItemKind,
    LogEntry,
    MachineSnapshot,
    PatchDocument,
    PatchTargets,
    Put,
    Remove,
    ReplaceDocument,
    StoredVersion,
    TermBody,
    ViewSnapshot,
    Voter,
    VotersBody,
)
from bronzepoint_schema.generated.catalogue import CatalogueItem
from bronzepoint_schema.ids import (
    ChangeId,
    ClusterId,
    DataCenterName,
    HostName,
    OperatorName,
    Revision,
    Term,
)

from ._documents import (
    DocumentOp,
    apply_document,
    document_version,
    shorten_document,
)
from ._shorten import shorten

RESULTS_KEPT = 20_000
"""Outcomes kept for resends: a day and a half at 13,000 changes a day, about 6 MB."""
REMOVED_KEPT = 20_000
"""Versions kept of items that were removed."""


class Applied(msgspec.Struct):
    """What one log entry did.

    Attributes:
        result: Outcome of the change; None for other entries.
        delta: What changed in the catalogue; None: nothing.
    """

    result: ChangeResult | None = None
    delta: Delta | None = None


class Machine:
    """The catalogue, its versions and the outcomes of recent changes.

    Nothing here reads a clock or draws a random number: each voter must come to the
    same state from the same log, also when it replays it a year later.

    Args:
        cluster: The cluster.
        voters: The first set of voters.

    Attributes:
        documents: The catalogue document; without one the catalogue is kept by item.
        closed: Data centers whose targets get nothing.
    """

    def __init__(self, cluster: ClusterId, voters: list[Voter]) -> None:
        self.cluster = cluster
        self.voters = voters
        self.index = 0
        self.term = Term(0)
        self.revision = Revision(0)
        self.documents = DocumentHistory()
        self.closed: frozenset[DataCenterName] = frozenset()
        self._items: dict[ItemKey, CatalogueItem] = {}
        self._versions: dict[ItemKey, StoredVersion] = {}
        self._removed: dict[ItemKey, None] = {}
        self._results: dict[ChangeId, ChangeResult] = {}
        self._by_age: list[ChangeId] = []
        self._forgotten = ChangeId("")

    @classmethod
    def restore(cls, snapshot: MachineSnapshot) -> "Machine":
        """Return the state that a snapshot holds."""
        machine = cls(snapshot.cluster, snapshot.voters)
        machine.index = snapshot.index
        machine.term = snapshot.term
        machine.revision = snapshot.revision
        machine._items = {item_key(item): item for item in snapshot.items}
        for version in snapshot.versions:
            key = ItemKey.of(version.item_kind, version.name)
            machine._versions[key] = version
            if key not in machine._items:
                machine._removed[key] = None
        machine._results = {result.change_id: result for result in snapshot.results}
        machine._by_age = sorted(machine._results)
        machine._forgotten = snapshot.forgotten
        if snapshot.document is not None:
            document = snapshot.document
            machine.documents = DocumentHistory(document.version, document.content)
        machine.closed = frozenset(snapshot.closed)
        return machine

    @property
    def document(self) -> ReplaceDocument | None:
        """Newest catalogue document; None: there is none."""
        documents = self.documents
        if documents.version < 0:
            return None
        return ReplaceDocument(documents.version, documents.content)

    def snapshot(self) -> MachineSnapshot:
        """Return the whole state."""
        removed = [self._versions[key] for key in self._removed]
        present = [self._versions[key] for key in self._items]
        return MachineSnapshot(
            cluster=self.cluster,
            index=self.index,
            term=self.term,
            revision=self.revision,
            voters=self.voters,
            items=list(self._items.values()),
            versions=present + removed,
            results=list(self._results.values()),
            forgotten=self._forgotten,
            document=self.document,
            closed=sorted(self.closed),
        )

    def view(self) -> ViewSnapshot:
        """Return the catalogue for followers."""
        return ViewSnapshot(self.cluster, self.revision, list(self._items.values()))

    def result(self, change_id: ChangeId) -> ChangeResult | None:
        """Return the outcome of a change that was applied or refused before.

        Change ids order by their time. Outcomes are forgotten in that order, so an id
        at or below the newest forgotten one may have been applied: it is refused,
        since applying it could repeat it.
        """
        result = self._results.get(change_id)
        if result is None and change_id <= self._forgotten:
            return Expired(change_id)
        return result

    def shorten(self, change: Change, pending: Iterable[LogEntry] = ()) -> Change:
        """Return a change as the log should hold it.

        Args:
            change: The change.
            pending: Entries of the log that aren't applied yet, in order.
        """
        match change.op:
            case ReplaceDocument() | PatchDocument():
                newest = self._documents_after(pending)
                return shorten_document(change, newest)
        return shorten(change, self._items.get(_change_key(change)))

    def _documents_after(self, pending: Iterable[LogEntry]) -> DocumentHistory:
        """Return what is held once entries are applied."""
        newest = DocumentHistory(self.documents.version, self.documents.content)
        for entry in pending:
            match entry.body:
                case ChangeBody(change=Change(op=ReplaceDocument() | PatchDocument())):
                    change = entry.body.change
                    if self.result(change.change_id) is None:
                        apply_document(newest, change.op)
        return newest

    def apply(self, entry: LogEntry) -> Applied:
        """Apply the next entry of the log."""
        assert entry.index == self.index + 1, "entries are applied in order"
        self.index = entry.index
        self.term = entry.term
        match entry.body:
            case ChangeBody(change=change):
                return self._apply_change(change)
            case VotersBody(voters=voters):
                self.voters = voters
                return Applied()
            case TermBody():
                return Applied()

    def _apply_change(self, change: Change) -> Applied:
        known = self.result(change.change_id)
        if known is not None:
            return Applied(known)
        match change.op:
            case ReplaceDocument() | PatchDocument() as op:
                return self._replace_document(change, op)
            case CloseDataCenter() as op:
                return self._close_data_center(change, op)
        key = _change_key(change)
        held = self._versions.get(key)
        present = held.version if held is not None else 0
        if change.version != present + 1 or not self._has_meaning(change, key):
            winner = held.operator if held is not None else OperatorName("")
            result = Conflicted(change.change_id, winner, present)
            self._remember(result)
            return Applied(result)
        delta = self._change_item(change, key)
        result = Accepted(change.change_id, self.revision, change.version)
        self._remember(result)
        return Applied(result, delta)

    def _replace_document(self, change: Change, op: DocumentOp) -> Applied:
        """Take a document of a higher version; accept an overtaken one unchanged.

        Two documents may come with the same number: the first in the log wins, and
        the other is accepted like any overtaken one, since hosts may already serve
        on the first.
        """
        if apply_document(self.documents, op):
            self.revision = Revision(self.revision + 1)
        return self._accept(change, document_version(op))

    def _close_data_center(self, change: Change, op: CloseDataCenter) -> Applied:
        names = {op.data_center}
        closed = self.closed | names if op.closed else self.closed - names
        if closed != self.closed:
            self.closed = closed
            self.revision = Revision(self.revision + 1)
        return self._accept(change, change.version)

    def _accept(self, change: Change, version: int) -> Applied:
        result = Accepted(change.change_id, self.revision, version)
        self._remember(result)
        return Applied(result)

    def _has_meaning(self, change: Change, key: ItemKey) -> bool:
        """Tell whether there is something to remove."""
        return isinstance(change.op, Put) or key in self._items

    def _change_item(self, change: Change, key: ItemKey) -> Delta:
        self.revision = Revision(self.revision + 1)
        former = self._items.get(key)
        match change.op:
            case Put(item=item):
                kind = item_kind(item)
                delta = self._put(key, change.version, item)
            case PatchTargets(item=item):
                kind = item_kind(item)
                delta = self._put(key, change.version, patched(former, change.op))
            case Remove(item_kind=kind):
                del self._items[key]
                self._removed[key] = None
                delta = Delta(self.revision, change.op)
        self._versions[key] = StoredVersion(
            kind, key.name, change.version, change.operator, self.revision
        )
        self._forget_removed()
        return delta

    def _put(self, key: ItemKey, version: int, item: CatalogueItem) -> Delta:
        former = self._items.get(key)
        item = msgspec.structs.replace(item, version=version)
        self._items[key] = item
        self._removed.pop(key, None)
        return make_delta(self.revision, former, item)

    def _remember(self, result: Accepted | Conflicted) -> None:
        self._results[result.change_id] = result
        heapq.heappush(self._by_age, result.change_id)
        while len(self._by_age) > RESULTS_KEPT:
            self._forgotten = heapq.heappop(self._by_age)
            del self._results[self._forgotten]

    def _forget_removed(self) -> None:
        while len(self._removed) > REMOVED_KEPT:
            key = next(iter(self._removed))
            del self._removed[key]
            del self._versions[key]


def replace_storage(voters: list[Voter], replacement: Voter) -> list[Voter]:
    """Return the voters with the storage of one host replaced."""
    return [replacement if v.host == replacement.host else v for v in voters]


def find_voter(voters: list[Voter], host: HostName) -> Voter | None:
    """Return the voter on a host."""
    return next((voter for voter in voters if voter.host == host), None)


def _change_key(change: Change) -> ItemKey:
    match change.op:
        case Put(item=item) | PatchTargets(item=item):
            return item_key(item)
        case Remove(item_kind=kind, name=name):
            return ItemKey.of(ItemKind(kind), name)
