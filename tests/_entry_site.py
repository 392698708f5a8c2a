"""Gateways over real HTTP, with fakes for the other components of the daemon."""

from collections import Counter
from collections.abc import Awaitable, Callable

import curio
import msgspec
import uuid_utils
from msgspec import Struct, field

from bronzepoint_common.http import (
    Answer,
    Exchange,
    HttpClient,
    HttpLimits,
    HttpServer,
)
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.tokens import Tokens
from bronzepoint_node.entry import Dependencies, Gateway
from bronzepoint_node.membership import HostInfo, HostState, RegionSummary
from bronzepoint_node.policy import (
    LocalPlacement,
    Placement,
    Refused,
    RemotePlacement,
    RequestView,
    TargetView,
    Ticket,
)
from bronzepoint_node.run_once import (
    Claimed,
    ClaimResult,
    ClaimToken,
    Done,
    InProgress,
    Mismatch,
    RunOnceError,
    Unknown,
)
from bronzepoint_schema.generated.admin import DirectoryAnswer
from bronzepoint_schema.generated.catalogue import (
    EntryClass,
    ModelEntry,
    Residency,
    ResidencyRule,
    Route,
    ServiceEntry,
    Target,
)
from bronzepoint_schema.generated.decisions import (
    DecisionRecord,
    Refusal,
    RefusalKind,
    RetryReason,
)
from bronzepoint_schema.generated.settings import (
    CallerSection,
    ClusterSection,
    HostSection,
    ListenSection,
    OperatorSection,
    Settings,
)

LIMITS = HttpLimits(max_body=65536)
CHAT = "/v1/chat/completions"
SAVED = "/v1/services/phrases/saved"
LOOKUP = "/v1/services/phrases/lookup"
OPERATOR = {"Authorization": "Bearer operator-token"}
MAX_WAIT = 30.0
"""Seconds after which a test or request fails."""


def run(main: Callable[[], Awaitable[None]]) -> None:
    async def bounded() -> None:
        async with curio.timeout_after(MAX_WAIT):
            await main()

    curio.run(bounded)


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; `run` limits the time."""
    while not condition():
        await curio.sleep(0.001)


def new_key() -> str:
    return str(uuid_utils.uuid7())


def caller(home: str) -> dict[str, str]:
    return {"Authorization": f"Bearer caller-token-{home}"}


def chat(model: str = "talk", **more: object) -> bytes:
    messages = [{"role": "user", "content": "where is the pharmacy"}]
    return msgspec.json.encode({"model": model, "messages": messages, **more})


def settings(host: str, region: str) -> Settings:
    callers = {
        f"{owner}-{home}": CallerSection(f"{prefix}caller-token-{home}", owner, home)
        for owner, prefix in (("saphan", ""), ("guest", "guest-"))
        for home in ("bkk", "sgp", "cnx")
    }
    return Settings(
        HostSection(host, region, f"{region}-a"),
        ListenSection("127.0.0.1:0", "127.0.0.1:0"),
        ClusterSection("ab" * 32),
        callers=callers,
        operators={"anong": OperatorSection("operator-token")},
    )


class StubTarget:
    """A target that counts the requests it ran, and answers with ``script``."""

    def __init__(self, region: str, script: Callable | None = None) -> None:
        self.region = region
        self.script = script or complete_answer
        self.ran: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()
        self.left = curio.Event()
        self.requests = 0
        self.server = HttpServer(self.handle, LIMITS)

    async def handle(self, exchange: Exchange) -> None:
        await exchange.body()
        self.requests += 1
        headers = exchange.request.headers
        if await self.script(self, exchange) == "not run":
            return
        self.ran[headers["x-request-id"]] += 1
        self.keys[headers.get("idempotency-key", "")] += 1


def request_id_header(exchange: Exchange) -> dict[str, str]:
    return {"X-Request-Id": exchange.request.headers["x-request-id"]}


async def complete_answer(target: StubTarget, exchange: Exchange) -> None:
    body = f"{target.region}:{exchange.request.headers['x-request-id']}"
    await exchange.respond(200, request_id_header(exchange), body.encode())


class FakeCatalogue:
    def __init__(self) -> None:
        self.revision = 1
        self.ready = True
        self.entries: dict[str, ModelEntry | ServiceEntry] = {}

    def entry(self, name):
        return self.entries.get(name)

    def owner(self, name):
        return None

    def items(self):
        return list(self.entries.values())

    def confirmed_age(self) -> float:
        return float("inf")


class FakeTargets:
    def __init__(self, region: str, catalogue: FakeCatalogue) -> None:
        self.region = region
        self.catalogue = catalogue
        self.in_flight: Counter[str] = Counter()
        self.results: list[tuple[str, str]] = []
        self.reported_leaving: list[str] = []

    def views(self, entry, prefix_hashes=None) -> list[TargetView]:
        return [
            TargetView(target.name, target.region, target.address)
            for target in self.catalogue.entries[entry].targets
            if target.region == self.region
        ]

    def begin(self, name, prefix_hashes=None) -> None:
        self.in_flight[name] += 1

    def finish(self, name, result, seconds) -> None:
        self.in_flight[name] -= 1
        self.results.append((name, result.value))

    def record_answer(self, name, headers, rest) -> None:
        if "x-leaving" in headers:
            self.reported_leaving.append(name)

    def statuses(self):
        return []


class FakePolicy:
    """Chooses the first untried target of this region, then other regions."""

    def __init__(self, region: str) -> None:
        self.region = region
        self.admission_refusal: Refused | None = None
        self.away: list[str] = []
        self.max_wait = 0.0
        self.may_replace = True
        self.searches = 0
        self.on_place: Callable[[], None] = lambda: None
        self.admitted = 0
        self.left: list[tuple[bool, int]] = []
        self.reasons: list[RetryReason] = []
        self.views: list[RequestView] = []

    async def enter(self, request: RequestView) -> Ticket | Refused:
        self.views.append(request)
        if self.admission_refusal is not None:
            return self.admission_refusal
        self.admitted += 1
        return Ticket(request, None, deadline=MAX_WAIT)

    async def place(self, ticket, targets, regions) -> Placement:
        request = ticket.request
        placement = self._place(request, targets(), regions())
        self.on_place()
        return placement

    def find_replacement(self, ticket, region, targets, regions):
        self.searches += 1
        tried = [*ticket.request.tried_regions, region]
        moved = msgspec.structs.replace(ticket.request, tried_regions=tried)
        placed = self._place(moved, targets(), regions())
        return None if isinstance(placed, Refused) or not self.may_replace else placed

    def _place(self, request, targets, regions) -> Placement:
        allowed = request.allowed_regions
        if self.region not in self.away and (allowed is None or self.region in allowed):
            for target in targets:
                if target.name not in request.tried:
                    return LocalPlacement(target, [], "first untried target")
        for view in regions if not request.forwarded else []:
            name = view.name
            free = name not in request.tried_regions and name != self.region
            if free and (allowed is None or name in allowed):
                reason = "first untried region"
                return RemotePlacement(name, [], reason, max_wait=self.max_wait)
        return Refused(RefusalKind.no_target, "No target.", "Come back.", 2.0)

    async def record_try(self, ticket, placement, result, first_token) -> None:
        return

    def may_retry(self, ticket, reason, region=None) -> bool:
        self.reasons.append(reason)
        return True

    async def leave(self, ticket, answered, tokens) -> None:
        self.left.append((answered, tokens))


class FakeRunOnce:
    """Run-once records in memory."""

    def __init__(self) -> None:
        self.states: dict[str, tuple[bytes, ClaimResult]] = {}
        self.result: ClaimResult | None = None
        self.error: RunOnceError | None = None
        self.confirmed = True

    async def claim(self, key, digest, request_id) -> ClaimResult:
        if self.error is not None:
            raise self.error
        if self.result is not None:
            return self.result
        known = self.states.get(key)
        if known is None:
            self.states[key] = (digest, InProgress(1.0))
            return Claimed(ClaimToken(key, None, None, 0.0))
        return known[1] if known[0] == digest else Mismatch()

    async def confirm(self, token) -> bool:
        return self.confirmed

    async def finish(self, token, answer) -> bool:
        digest, _ = self.states[token.key]
        self.states[token.key] = (digest, Unknown() if answer is None else Done(answer))
        return True

    async def release(self, token) -> bool:
        del self.states[token.key]
        return True


class FakeDecisions:
    def __init__(self, host: str, region: str) -> None:
        self.prefix = f"{host}.{region}"
        self.records: dict[str, DecisionRecord] = {}

    def new_request_id(self) -> str:
        return f"{self.prefix}.{uuid_utils.uuid7().hex}"

    async def record(self, record: DecisionRecord) -> None:
        self.records[record.request_id] = record

    async def why(self, request_id):
        raise NotImplementedError


class Host(Struct):
    """A gateway and its fakes."""

    name: str
    region: str
    catalogue: FakeCatalogue
    targets: FakeTargets
    policy: FakePolicy
    run_once: FakeRunOnce
    decisions: FakeDecisions
    metrics: Metrics
    gateway: Gateway
    server: HttpServer
    client: HttpClient


class FakeMembership:
    def __init__(self, site: "Site") -> None:
        self.site = site

    def hosts(self, region=None) -> list[HostInfo]:
        return [
            HostInfo(host.name, host.region, "a", host.server.address, HostState.live)
            for host in self.site.hosts.values()
            if region in (None, host.region)
        ]

    live = hosts

    def host(self, name):
        return next((info for info in self.hosts() if info.name == name), None)

    def regions(self) -> dict[str, RegionSummary]:
        names = {host.region for host in self.site.hosts.values()}
        return {name: RegionSummary(name, True, 1, 0.0) for name in sorted(names)}


class FakeDirectory:
    def hosts_for(self, caller_home) -> DirectoryAnswer:
        return DirectoryAnswer([], 5.0)


class Site:
    """Hosts ``<region>-1`` and targets ``<region>-t1``… of the given regions."""

    def __init__(self, *regions: str, targets: int = 1, script=None) -> None:
        self.regions = regions
        self.hosts: dict[str, Host] = {}
        self.targets = {
            f"{region}-t{number + 1}": StubTarget(region, script)
            for region in regions
            for number in range(targets)
        }
        self.client = HttpClient(LIMITS, 5.0)
        self.last_id = ""

    async def __aenter__(self) -> "Site":
        for target in self.targets.values():
            await target.server.start("127.0.0.1:0")
        for region in self.regions:
            await self._add_host(f"{region}-1", region)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.client.close()
        for host in self.hosts.values():
            await host.client.close()
            await host.server.close(1.0)
        for target in self.targets.values():
            await target.server.close(1.0)

    async def _add_host(self, name: str, region: str) -> None:
        cfg = settings(name, region)
        catalogue = FakeCatalogue()
        catalogue.entries = self.entries()
        client = HttpClient(LIMITS, 5.0)
        metrics = Metrics()
        policy, run_once = FakePolicy(region), FakeRunOnce()
        targets = FakeTargets(region, catalogue)
        decisions = FakeDecisions(name, region)
        parts = Dependencies(
            catalogue,
            FakeMembership(self),
            FakeDirectory(),
            targets,
            policy,
            run_once,
            decisions,
            None,
            None,
            Tokens(cfg),
            client,
            metrics,
            lambda: None,
        )
        gateway = Gateway(cfg, parts)
        server = HttpServer(gateway.handle, LIMITS, gateway.on_http_error)
        await server.start("127.0.0.1:0")
        self.hosts[name] = Host(
            name,
            region,
            catalogue,
            targets,
            policy,
            run_once,
            decisions,
            metrics,
            gateway,
            server,
            client,
        )

    def entries(self) -> dict[str, ModelEntry | ServiceEntry]:
        targets = [
            Target(name, target.region, "a", target.server.address)
            for name, target in self.targets.items()
        ]
        at_home = Residency(ResidencyRule.home)
        entries = [
            ModelEntry("talk", "saphan", EntryClass.interactive, targets=targets),
            ModelEntry("clinic", "saphan", residency=at_home, targets=targets),
            ModelEntry("closed", "saphan", owners_allowed=["x"], targets=targets),
            ServiceEntry(
                "phrases",
                "saphan",
                routes=[Route("GET", "/lookup"), Route("POST", "/saved", False)],
                targets=targets,
            ),
        ]
        return {entry.name: entry for entry in entries}

    async def request(
        self,
        host: str,
        method: str = "POST",
        path: str = CHAT,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        home: str = "bkk",
    ) -> Answer:
        """Send a request as a caller whose home region is ``home``."""
        sent = {**caller(home), **(headers or {})}
        address = self.hosts[host].server.address
        answer = await self.client.fetch(address, method, path, sent, body, MAX_WAIT)
        self.last_id = answer.headers.get("bronzepoint-request-id", "")
        return answer

    async def save(self, host: str, key: str, body: bytes = b"x", home: str = "bkk"):
        """Send a non-idempotent request."""
        headers = {"Idempotency-Key": key}
        return await self.request(host, "POST", SAVED, body, headers, home)

    def runs(self, request_id: str = "") -> int:
        """Return how often the targets ran a request, by default the last one."""
        wanted = request_id or self.last_id
        return sum(target.ran[wanted] for target in self.targets.values())

    async def record(self, host: str) -> DecisionRecord:
        """Wait for a host's final record of the last request and return it."""
        records, wanted = self.hosts[host].decisions.records, self.last_id
        await wait_until(lambda: wanted in records and records[wanted].duration)
        return records[wanted]


class ReceivedRefusal(Struct):
    """A refusal that a caller received, and the number of runs at the targets."""

    status: int
    refusal: Refusal
    runs: int
    headers: dict[str, str] = field(default_factory=dict)


def read_refusal(site: Site, answer: Answer) -> ReceivedRefusal:
    """Decode a refusal, and check that a request "not run" has no run at a target."""
    refusal = msgspec.json.decode(answer.body, type=dict[str, Refusal])["error"]
    runs = site.runs(refusal.request_id) if refusal.request_id else 0
    if refusal.ran == "no" and runs:
        raise AssertionError(f"{refusal.kind} says not run, it ran {runs} times")
    assert answer.headers["bronzepoint-refusal"] == refusal.kind
    assert refusal.message and refusal.remedy
    return ReceivedRefusal(answer.status, refusal, runs, answer.headers)
