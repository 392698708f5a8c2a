"""The measured host of the decisions' slopes, run as a separate process.

``python -m bronzepoint_emulator.slopes._decisions_host PLAN``: records decisions at the
rate in the JSON file PLAN and stores the copies that the other host sends.
"""

import random
import resource
import sys
import time
from pathlib import Path

import curio
import msgspec
from msgspec import Struct

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.decisions import Decisions
from bronzepoint_node.membership import HostInfo, HostState
from bronzepoint_schema.generated.decisions import (
    Candidate,
    DecisionRecord,
    ExclusionReason,
    Outcome,
    Try,
    TryResult,
)
from bronzepoint_schema.generated.settings import DecisionsSection, HostSection
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName, RequestId

KEY = bytes(32)
REGION = RegionName("bkk")
DATA_CENTER = DataCenterName("bkk-a")
CANDIDATES = 8
"""Regions and targets per record; records of a six-engine deployment have five."""
TICK = 0.05
"""Seconds between bursts of records."""
HELD_BATCH = 11
"""Records per batch of copies, at 22 requests and two batches per second."""
LOOKUPS = 200
"""Number of lookups whose time is averaged."""


class DecisionsPlan(Struct):
    """One measurement of two hosts that are each other's backup.

    Attributes:
        name: Name of the host that reads this plan.
        addresses: Peer address of each host.
        rate: Records per second on each host.
        seconds: Duration of the measurement.
        held: Records put into the store before the measurement.
    """

    name: str
    addresses: dict[str, str]
    rate: float
    seconds: float
    held: int = 0


class DecisionsFigures(Struct):
    """Resource use of the host.

    Attributes:
        rate: Records made per second.
        messages: Control messages sent per second; as many are received.
        sent_bytes: Payload bytes of these messages per second.
        processor_ms: Processor time per second (ms).
        memory_mb: Peak resident memory (MiB).
        store_bytes: Size of own records and copies, as counted by the store.
        records: Own records in the store.
        find_ms: Time to find one record in the store (ms).
    """

    rate: float
    messages: float
    sent_bytes: float
    processor_ms: float
    memory_mb: float
    store_bytes: int
    records: int
    find_ms: float


class CountingPeers(Peers):
    """Counts the posted messages and their bytes."""

    messages = 0
    sent_bytes = 0

    def post(self, peer: HostName, area: Area, message: object) -> bool:
        """Post a message and count its payload."""
        self.messages += 1
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        return super().post(peer, area, message)


class TwoHosts:
    """A fixed membership of two live hosts."""

    def __init__(self, names: list[str]) -> None:
        self._hosts = {
            HostName(name): HostInfo(
                HostName(name), REGION, DATA_CENTER, "", HostState.live
            )
            for name in names
        }

    def hosts(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return both hosts."""
        return list(self._hosts.values())

    def host(self, name: HostName) -> HostInfo | None:
        """Return one host."""
        return self._hosts.get(name)


def make_record(request_id: RequestId, host: str, rng: random.Random) -> DecisionRecord:
    """Return a record of the size of a model call's, with random values."""
    candidates = [
        Candidate(
            f"{REGION}-engine-{number}",
            REGION,
            round(rng.random(), 4),
            ExclusionReason.worse if number else None,
            f"load {rng.random():.1f}, wait {rng.random():.3f} s, first token "
            f"{rng.random():.3f} s, cost 1.00",
        )
        for number in range(CANDIDATES)
    ]
    began = rng.random()
    attempt = Try(
        f"{REGION}-engine-0", REGION, began, TryResult.answered, began + rng.random()
    )
    return DecisionRecord(
        request_id,
        HostName(host),
        REGION,
        time.time(),
        caller=f"caller-{rng.randrange(3000)}",
        owner=f"owner-{rng.randrange(3000)}",
        entry=f"entry-{rng.randrange(4)}",
        revision=13000,
        home=REGION,
        candidates=candidates,
        choice=f"{REGION}-engine-0",
        reason="least expected loss at home; 2 within the margin, drawn at random",
        tries=[attempt],
        outcome=Outcome.answered,
        status=200,
        duration=rng.random(),
    )


async def run(plan: DecisionsPlan) -> DecisionsFigures:
    """Run the host and return its resource use."""
    rng = random.Random(plan.name)
    peers = CountingPeers(
        HostName(plan.name), plan.addresses[plan.name], KEY, Metrics()
    )
    for other, address in plan.addresses.items():
        peers.set_address(HostName(other), address)
    host = HostSection(HostName(plan.name), REGION, DATA_CENTER)
    cfg = DecisionsSection(own_bytes=64_000_000, copy_bytes=64_000_000)
    decisions = Decisions(host, peers, TwoHosts(list(plan.addresses)), Metrics(), cfg)
    await peers.start()
    await decisions.start()
    await fill_store(decisions, plan, rng)
    prepared = [
        make_record(decisions.new_request_id(), plan.name, rng)
        for _ in range(round(plan.rate * plan.seconds))
    ]
    await curio.sleep(1.0)
    figures = await measure_rate(decisions, peers, plan, prepared)
    await curio.sleep(1.0)
    await peers.close()
    return figures


async def fill_store(
    decisions: Decisions, plan: DecisionsPlan, rng: random.Random
) -> None:
    """Add the plan's records to the store, in batches as in operation."""
    for number in range(plan.held):
        request_id = decisions.new_request_id()
        decisions._store.add(make_record(request_id, plan.name, rng))
        if number % HELD_BATCH == HELD_BATCH - 1:
            decisions._store.seal_pending()


async def measure_rate(
    decisions: Decisions,
    peers: CountingPeers,
    plan: DecisionsPlan,
    prepared: list[DecisionRecord],
) -> DecisionsFigures:
    """Record at the plan's rate and measure."""
    store = decisions._store
    messages, sent = peers.messages, peers.sent_bytes
    processor, began = time.process_time(), time.monotonic()
    done = 0
    while (spent := time.monotonic() - began) < plan.seconds:
        due = min(len(prepared), round(plan.rate * spent))
        for record in prepared[done:due]:
            await decisions.record(record)
        done = due
        await curio.sleep(TICK)
    processor = time.process_time() - processor
    wanted = prepared[0].request_id if prepared else decisions.new_request_id()
    lookup_time = time.process_time()
    for _ in range(LOOKUPS):
        store.find(wanted)
    lookup_time = time.process_time() - lookup_time
    return DecisionsFigures(
        rate=done / spent,
        messages=(peers.messages - messages) / spent,
        sent_bytes=(peers.sent_bytes - sent) / spent,
        processor_ms=processor * 1000 / spent,
        memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        store_bytes=store.own.size + store.copies.size,
        records=store.own.records,
        find_ms=lookup_time * 1000 / LOOKUPS,
    )


def main() -> None:
    """Print the figures as one JSON line."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=DecisionsPlan)
    print(msgspec.json.encode(curio.run(run, plan)).decode())


if __name__ == "__main__":
    main()
