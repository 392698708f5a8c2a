"""The replicated state machine: the state that every voter computes from the log."""

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

from ._delta_encoding import delta_encode
from ._documents import (
    DocumentOp,
    apply_document,
    delta_encode_document,
    document_version,
)
from ._order_positions import OrderPositions

MAX_RESULTS = 20_000
"""Outcomes kept to answer resends.

It covers a day and a half at 13,000 changes a day and takes about 6 MB.
"""
MAX_REMOVED = 20_000
"""Number of removed items whose versions are kept."""


_encoder = msgspec.msgpack.Encoder()


class ApplyResult(msgspec.Struct):
    """Effect of one log entry.

    Attributes:
        result: Outcome of the change; None for other entries.
        delta: Change of the catalogue; None if it didn't change.
    """

    result: ChangeResult | None = None
    delta: Delta | None = None


class StateMachine:
    """The catalogue, its versions and the outcomes of recent changes.

    It must be deterministic: it uses neither clocks nor random numbers, so that each
    voter reaches the same state from the same log, whenever it replays it.

    Args:
        cluster: The cluster.
        voters: The first set of voters.

    Attributes:
        documents: The catalogue document; without one, the catalogue is kept by item.
        closed: Data centers whose targets receive no requests.
        closing_index: Position of the last order to close or open a data center.
        order_positions: Position of the last such order of each data center.
        item_bytes: Bytes of all items.
        voters_index: Position of the last change of the voters since the start; 0:
            there was none.
    """

    def __init__(self, cluster: ClusterId, voters: list[Voter]) -> None:
        self.cluster = cluster
        self.voters = voters
        self.index = 0
        self.term = Term(0)
        self.revision = Revision(0)
        self.documents = DocumentHistory()
        self.closed: frozenset[DataCenterName] = frozenset()
        self.closing_index = 0
        self.order_positions = OrderPositions()
        self.voters_index = 0
        self.item_bytes = 0
        self._item_sizes: dict[ItemKey, int] = {}
        self._items: dict[ItemKey, CatalogueItem] = {}
        self._versions: dict[ItemKey, StoredVersion] = {}
        self._removed: dict[ItemKey, None] = {}
        self._results: dict[ChangeId, ChangeResult] = {}
        self._id_heap: list[ChangeId] = []
        self._newest_evicted = ChangeId("")

    @classmethod
    def restore(cls, snapshot: MachineSnapshot) -> "StateMachine":
        """Return a state machine restored from a snapshot."""
        state_machine = cls(snapshot.cluster, snapshot.voters)
        state_machine.index = snapshot.index
        state_machine.term = snapshot.term
        state_machine.revision = snapshot.revision
        for item in snapshot.items:
            state_machine._store_item(item_key(item), item)
        for version in snapshot.versions:
            key = ItemKey.of(version.item_kind, version.name)
            state_machine._versions[key] = version
            if key not in state_machine._items:
                state_machine._removed[key] = None
        state_machine._results = {
            result.change_id: result for result in snapshot.results
        }
        state_machine._id_heap = sorted(state_machine._results)
        state_machine._newest_evicted = snapshot.forgotten
        if snapshot.document is not None:
            document = snapshot.document
            state_machine.documents = DocumentHistory(
                document.version, document.content
            )
        state_machine.closed = frozenset(snapshot.closed)
        state_machine.closing_index = snapshot.closing_index
        floor = snapshot.orders_floor
        state_machine.order_positions = OrderPositions(
            floor if floor >= 0 else snapshot.closing_index, snapshot.orders
        )
        return state_machine

    @property
    def document(self) -> ReplaceDocument | None:
        """Newest catalogue document; None if there is none."""
        documents = self.documents
        if documents.version < 0:
            return None
        return ReplaceDocument(documents.version, documents.content)

    def snapshot(self) -> MachineSnapshot:
        """Return a snapshot of the whole state."""
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
            forgotten=self._newest_evicted,
            document=self.document,
            closed=sorted(self.closed),
            closing_index=self.closing_index,
            orders=self.order_positions.listed(),
            orders_floor=self.order_positions.floor,
        )

    def view(self) -> ViewSnapshot:
        """Return the catalogue for hosts that follow it."""
        return ViewSnapshot(self.cluster, self.revision, list(self._items.values()))

    def result(self, change_id: ChangeId) -> ChangeResult | None:
        """Return the outcome of a change that was applied or refused before.

        Change ids sort by time, and outcomes are evicted in that order. An id at or
        below the newest evicted one may have been applied before. It is refused,
        since it could otherwise be applied twice.
        """
        result = self._results.get(change_id)
        if result is None and change_id <= self._newest_evicted:
            return Expired(change_id)
        return result

    def delta_encode(self, change: Change, pending: Iterable[LogEntry] = ()) -> Change:
        """Return a change encoded for the log, with only the difference.

        Args:
            change: The change.
            pending: Entries of the log that aren't applied yet, in order.
        """
        match change.op:
            case ReplaceDocument() | PatchDocument():
                newest = self._documents_after(pending)
                return delta_encode_document(change, newest)
            case CloseDataCenter() as op:
                newest_index = max([self.index, *(entry.index for entry in pending)])
                op = msgspec.structs.replace(op, known_index=newest_index)
                return msgspec.structs.replace(change, op=op)
        return delta_encode(change, self._items.get(_change_key(change)))

    def find_overtaking(
        self, change: Change, pending: Iterable[LogEntry] = ()
    ) -> Conflicted | None:
        """Return the conflict of an order that another one has overtaken, else None.

        Args:
            change: The change.
            pending: Entries of the log that aren't applied yet, in order.
        """
        match change.op:
            case CloseDataCenter(data_center=name, known_index=known) if known >= 0:
                last = self._last_order(name, change.change_id, pending)
                if known < last:
                    return Conflicted(change.change_id, OperatorName(""), last)
        return None

    def _last_order(
        self, name: DataCenterName, change_id: ChangeId, pending: Iterable[LogEntry]
    ) -> int:
        """Return the position of the last order of a data center by other changes."""
        last = self.order_positions.last(name)
        for entry in pending:
            match entry.body:
                case ChangeBody(change=Change(op=CloseDataCenter(data_center=other))):
                    if other == name and entry.body.change.change_id != change_id:
                        last = entry.index
        return last

    def _documents_after(self, pending: Iterable[LogEntry]) -> DocumentHistory:
        """Return the document after pending entries are applied."""
        newest = DocumentHistory(self.documents.version, self.documents.content)
        for entry in pending:
            match entry.body:
                case ChangeBody(change=Change(op=ReplaceDocument() | PatchDocument())):
                    change = entry.body.change
                    if self.result(change.change_id) is None:
                        apply_document(newest, change.op)
        return newest

    def apply(self, entry: LogEntry) -> ApplyResult:
        """Apply the next entry of the log."""
        assert entry.index == self.index + 1, "entries are applied in order"
        self.index = entry.index
        self.term = entry.term
        match entry.body:
            case ChangeBody(change=change):
                return self._apply_change(change)
            case VotersBody(voters=voters):
                self.voters = voters
                self.voters_index = entry.index
                return ApplyResult()
            case TermBody():
                return ApplyResult()

    def _apply_change(self, change: Change) -> ApplyResult:
        earlier = self.result(change.change_id)
        if earlier is not None:
            return ApplyResult(earlier)
        match change.op:
            case ReplaceDocument() | PatchDocument() as op:
                return self._replace_document(change, op)
            case CloseDataCenter() as op:
                return self._close_data_center(change, op)
        key = _change_key(change)
        stored = self._versions.get(key)
        present = stored.version if stored is not None else 0
        if change.version != present + 1 or not self._can_apply(change, key):
            winner = stored.operator if stored is not None else OperatorName("")
            result = Conflicted(change.change_id, winner, present)
            self._store_result(result)
            return ApplyResult(result)
        delta = self._change_item(change, key)
        result = Accepted(change.change_id, self.revision, change.version)
        self._store_result(result)
        return ApplyResult(result, delta)

    def _replace_document(self, change: Change, op: DocumentOp) -> ApplyResult:
        """Apply a document of a higher version; accept an older one without effect.

        Of two documents with the same version the first in the log wins. The other
        is accepted without effect, like an older one, since hosts may already serve
        the first.
        """
        if apply_document(self.documents, op):
            self.revision = Revision(self.revision + 1)
        return self._accept(change, document_version(op))

    def _close_data_center(self, change: Change, op: CloseDataCenter) -> ApplyResult:
        """Apply an order unless another one has been applied since it was given.

        An order without effect counts, too: it may be the repetition of one that is
        still on its way from another host. Orders of all data centers count, as in
        earlier versions, on which voters may still run; a leader of this version
        appends none to which that applies.
        """
        if 0 <= op.known_index < self.closing_index:
            result = Conflicted(change.change_id, OperatorName(""), self.closing_index)
            self._store_result(result)
            return ApplyResult(result)
        self.closing_index = self.index
        self.order_positions.record(op.data_center, self.index)
        names = {op.data_center}
        closed = self.closed | names if op.closed else self.closed - names
        if closed != self.closed:
            self.closed = closed
            self.revision = Revision(self.revision + 1)
        return self._accept(change, change.version)

    def _accept(self, change: Change, version: int) -> ApplyResult:
        result = Accepted(change.change_id, self.revision, version)
        self._store_result(result)
        return ApplyResult(result)

    def _can_apply(self, change: Change, key: ItemKey) -> bool:
        """Return whether the change is a put or its item exists."""
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
                self.item_bytes -= self._item_sizes.pop(key)
                self._removed[key] = None
                delta = Delta(self.revision, change.op)
        self._versions[key] = StoredVersion(
            kind, key.name, change.version, change.operator, self.revision
        )
        self._evict_removed()
        return delta

    def _put(self, key: ItemKey, version: int, item: CatalogueItem) -> Delta:
        former = self._items.get(key)
        item = msgspec.structs.replace(item, version=version)
        self._store_item(key, item)
        self._removed.pop(key, None)
        return make_delta(self.revision, former, item)

    def _store_item(self, key: ItemKey, item: CatalogueItem) -> None:
        size = len(_encoder.encode(item))
        self.item_bytes += size - self._item_sizes.get(key, 0)
        self._item_sizes[key] = size
        self._items[key] = item

    def _store_result(self, result: Accepted | Conflicted) -> None:
        self._results[result.change_id] = result
        heapq.heappush(self._id_heap, result.change_id)
        while len(self._id_heap) > MAX_RESULTS:
            self._newest_evicted = heapq.heappop(self._id_heap)
            del self._results[self._newest_evicted]

    def _evict_removed(self) -> None:
        while len(self._removed) > MAX_REMOVED:
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
