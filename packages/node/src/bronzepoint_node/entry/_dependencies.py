"""Interfaces of the other components of the daemon that the request path uses."""

from collections.abc import Callable, Mapping
from typing import Protocol

from msgspec import Struct

from bronzepoint_common.http import HttpClient
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.tokens import Tokens
from bronzepoint_node.agreement import AgreementStatus
from bronzepoint_node.membership import HostInfo, RegionSummary
from bronzepoint_node.policy import (
    LocalPlacement,
    Placement,
    Refused,
    RegionView,
    RemotePlacement,
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
        """Return the seconds since this view was last confirmed to be current."""


class MembershipLike(Protocol):
    """Known hosts and regions; see `bronzepoint_node.membership`."""

    def hosts(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the known hosts of one region; None: of all regions."""

    def host(self, name: HostName) -> HostInfo | None:
        """Return a host by name; None: it is not known."""

    def live(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the live hosts of one region; None: of all regions."""

    def regions(self) -> dict[RegionName, RegionSummary]:
        """Return a summary of the state of each region."""


class DirectoryLike(Protocol):
    """Hosts that a caller should use; see `bronzepoint_node.directory`."""

    def hosts_for(self, caller_home: RegionName) -> DirectoryAnswer:
        """Return the hosts for callers of a home region, in order of preference."""


class TargetsLike(Protocol):
    """Targets of this region; see `bronzepoint_node.targets`."""

    def views(
        self, entry: EntryName, prefix_hashes: list[str] | None = None
    ) -> list[TargetView]:
        """Return the current state of an entry's targets."""

    def begin(self, name: TargetName, prefix_hashes: list[str] | None = None) -> None:
        """Add a request to those in progress at a target."""

    def finish(self, name: TargetName, result: TryResult, seconds: float) -> None:
        """Remove a request from those in progress; its result may eject the target."""

    def record_answer(
        self, name: TargetName, headers: Mapping[str, str], rest: float
    ) -> None:
        """Update a target's state from its response.

        Args:
            name: The target.
            headers: Headers of the response.
            rest: Seconds for which it wants no requests of this host; 0: none.
        """

    def statuses(self) -> list[TargetStatus]:
        """Return the status of all targets that this host monitors."""


class PolicyLike(Protocol):
    """Limits, placement and retries; see `bronzepoint_node.policy`."""

    async def enter(self, request: RequestView) -> Ticket | Refused:
        """Admit a request under its limits, or refuse it."""

    async def place(
        self,
        ticket: Ticket,
        targets: Callable[[], list[TargetView]],
        regions: Callable[[], list[RegionView]],
    ) -> Placement:
        """Choose the target or region that serves the request."""

    def find_replacement(
        self,
        ticket: Ticket,
        region: RegionName,
        targets: Callable[[], list[TargetView]],
        regions: Callable[[], list[RegionView]],
    ) -> LocalPlacement | RemotePlacement | None:
        """Take a place elsewhere for a request whose answer from a region is late."""

    async def record_try(
        self,
        ticket: Ticket,
        placement: LocalPlacement | RemotePlacement,
        result: TryResult,
        first_token: float | None,
    ) -> None:
        """Update the policy's state with the result of one try."""

    def may_retry(
        self, ticket: Ticket, reason: RetryReason, region: RegionName | None = None
    ) -> bool:
        """Return whether the retry budget allows another try."""

    async def leave(self, ticket: Ticket, answered: bool, tokens: int) -> None:
        """Release the request's share of its limits."""


class RunOnceLike(Protocol):
    """Run-once records of non-idempotent requests; see `bronzepoint_node.run_once`."""

    async def claim(
        self, key: IdempotencyKey, digest: bytes, request_id: RequestId
    ) -> ClaimResult:
        """Claim an idempotency key for one run of a request."""

    async def confirm(self, token: ClaimToken) -> bool:
        """Return whether the claim still holds and the request may be sent now."""

    async def finish(self, token: ClaimToken, answer: StoredAnswer | None) -> bool:
        """Record the response; None: the outcome is unknown."""

    async def release(self, token: ClaimToken) -> bool:
        """Release the claim of a request that certainly did not run."""


class DecisionsLike(Protocol):
    """Decision records; see `bronzepoint_node.decisions`."""

    def new_request_id(self) -> RequestId:
        """Return a new identifier for a request that has just arrived."""

    async def record(self, record: DecisionRecord) -> None:
        """Store a record."""

    async def why(self, request_id: RequestId) -> WhyAnswer:
        """Look up the records of a request."""


class AgreementLike(Protocol):
    """Changes of the catalogue; see `bronzepoint_node.agreement`."""

    async def propose(self, change: Change, timeout: float) -> Accepted:
        """Propose a change to the leader and wait until it is accepted."""

    async def initialise(self) -> ClusterId:
        """Initialise the cluster."""

    def lease(self) -> FencingNumber | None:
        """Return the fencing number; None: this host doesn't hold the leader lease."""

    def status(self) -> AgreementStatus:
        """Return the state of the agreement on this host."""


class OrdersLike(Protocol):
    """Orders to engines; see `bronzepoint_node.orders`."""

    def status(self) -> OrdersStatus:
        """Return the status of the orders for operators."""


class Dependencies(Struct, frozen=True):
    """All components that the request path uses.

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
