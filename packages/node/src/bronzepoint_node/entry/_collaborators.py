"""What the request path needs of the other parts of the daemon."""

from collections.abc import Callable, Mapping
from typing import Protocol

from msgspec import Struct

from bronzepoint_common.http import HttpClient
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.tokens import Tokens
from bronzepoint_node.agreement import AgreementStatus
from bronzepoint_node.membership import HostInfo, RegionSummary
from bronzepoint_node.policy import (
    Away,
    Home,
    Placement,
    Refused,
    RegionView,
    RequestView,
    TargetView,
    Ticket,
)
from bronzepoint_node.run_once import ClaimResult, ClaimToken, StoredAnswer
from bronzepoint_schema.generated.admin import DirectoryAnswer, TargetStatus
from bronzepoint_schema.generated.agreement import Accepted, Change
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    OwnerItem,
    ServiceEntry,
)
from bronzepoint_schema.generated.decisions import (
    DecisionRecord,
    RetryReason,
    TryResult,
    WhyAnswer,
)
from bronzepoint_schema.generated.orders import OrdersStatus
from bronzepoint_schema.ids import (
    ClusterId,
    EntryName,
    FencingNumber,
    HostName,
    IdempotencyKey,
    OwnerName,
    RegionName,
    RequestId,
    Revision,
    TargetName,
)


class CatalogueLike(Protocol):
    """This host's view of the catalogue; see `bronzepoint_node.catalogue`."""

    revision: Revision
    ready: bool

    def entry(self, name: EntryName) -> ModelEntry | ServiceEntry | None:
        """Return an entry."""

    def owner(self, name: OwnerName) -> OwnerItem | None:
        """Return the limits of one organisation."""

    def items(self) -> list[CatalogueItem]:
        """Return all items."""

    def confirmed_age(self) -> float:
        """Return the seconds since this view was known to be current."""


class MembershipLike(Protocol):
    """Known hosts and regions; see `bronzepoint_node.membership`."""

    def hosts(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the known hosts of one region, or of all."""

    def host(self, name: HostName) -> HostInfo | None:
        """Return one host."""

    def live(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the live hosts of one region."""

    def regions(self) -> dict[RegionName, RegionSummary]:
        """Return what is known of each region."""


class DirectoryLike(Protocol):
    """Which hosts a caller should use; see `bronzepoint_node.directory`."""

    def hosts_for(self, caller_home: RegionName) -> DirectoryAnswer:
        """Return hosts in order."""


class TargetsLike(Protocol):
    """Targets of this region; see `bronzepoint_node.targets`."""

    def views(
        self, entry: EntryName, prefix_hashes: list[str] | None = None
    ) -> list[TargetView]:
        """Return an entry's targets as they are seen now."""

    def begin(self, name: TargetName, prefix_hashes: list[str] | None = None) -> None:
        """Count a request in progress."""

    def finish(self, name: TargetName, result: TryResult, seconds: float) -> None:
        """Count it out; the result may eject the target."""

    def note_answer(self, name: TargetName, headers: Mapping[str, str]) -> None:
        """Take a target's own word from the headers of its answer."""

    def statuses(self) -> list[TargetStatus]:
        """Return all targets that this host watches."""


class PolicyLike(Protocol):
    """Limits, placement and retries; see `bronzepoint_node.policy`."""

    async def enter(self, request: RequestView) -> Ticket | Refused:
        """Count a request against its limits."""

    async def place(
        self,
        ticket: Ticket,
        targets: Callable[[], list[TargetView]],
        regions: Callable[[], list[RegionView]],
    ) -> Placement:
        """Choose where it goes."""

    async def try_ended(
        self,
        ticket: Ticket,
        placed: Home | Away,
        result: TryResult,
        first_token: float | None,
    ) -> None:
        """Learn from one try."""

    def may_retry(
        self, ticket: Ticket, reason: RetryReason, region: RegionName | None = None
    ) -> bool:
        """Return whether another try may follow."""

    async def leave(self, ticket: Ticket, answered: bool, tokens: int) -> None:
        """Give back what the request has taken."""


class RunOnceLike(Protocol):
    """Records of non-idempotent requests; see `bronzepoint_node.run_once`."""

    async def claim(
        self, key: IdempotencyKey, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        """Claim the right to run a request."""

    async def confirm(self, token: ClaimToken) -> bool:
        """Tell whether dispatch may begin now."""

    async def finish(self, token: ClaimToken, answer: StoredAnswer | None) -> bool:
        """Record the outcome; None: unknown."""

    async def release(self, token: ClaimToken) -> bool:
        """Record that the request certainly did not run."""


class DecisionsLike(Protocol):
    """Decision records; see `bronzepoint_node.decisions`."""

    def new_request_id(self) -> RequestId:
        """Return the identifier of a request that arrives now."""

    async def record(self, record: DecisionRecord) -> None:
        """Keep a record."""

    async def why(self, request_id: RequestId) -> WhyAnswer:
        """Find the records of a request."""


class AgreementLike(Protocol):
    """Changes of the catalogue; see `bronzepoint_node.agreement`."""

    async def propose(self, change: Change, timeout: float) -> Accepted:
        """Bring a change before the leader."""

    async def initialise(self) -> ClusterId:
        """Begin the cluster."""

    def lease(self) -> FencingNumber | None:
        """Return the fencing number while this host may act as leader."""

    def status(self) -> AgreementStatus:
        """Return the state of the agreement on this host."""


class OrdersLike(Protocol):
    """Orders to engines; see `bronzepoint_node.orders`."""

    def status(self) -> OrdersStatus:
        """Return what operators see of the orders."""


class Collaborators(Struct, frozen=True):
    """All parts that the request path uses.

    Attributes:
        drain: Called when an operator asks this host to drain.
    """

    catalogue: CatalogueLike
    membership: MembershipLike
    directory: DirectoryLike
    targets: TargetsLike
    policy: PolicyLike
    run_once: RunOnceLike
    decisions: DecisionsLike
    agreement: AgreementLike
    orders: OrdersLike
    tokens: Tokens
    client: HttpClient
    metrics: Metrics
    drain: Callable[[], None]
