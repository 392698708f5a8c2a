"""The measured host: ``python -m`` this module with the path of a plan."""

import sys
import time
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.http import Answer, HttpClient, HttpLimits
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.slopes._membership_plan import (
    Figures,
    MembershipPlan,
    difference,
)
from bronzepoint_node.membership import Membership
from bronzepoint_node.targets import Targets
from bronzepoint_schema.generated.catalogue import ModelEntry
from bronzepoint_schema.ids import HostName, Revision

_MAX_WAIT = 60.0
"""Seconds for the host to know all hosts and regions."""
_HEAD_BYTES = 150
"""Bytes of a poll's request and answer heads, which the client does not count."""


class CountingClient(HttpClient):
    """Counts the bytes received by polls."""

    received = 0

    async def fetch(self, *args: object, **kwargs: object) -> Answer:
        """Fetch and count the answer's bytes."""
        answer = await super().fetch(*args, **kwargs)  # type: ignore[arg-type]
        self.received += len(answer.body) + _HEAD_BYTES
        return answer


class PlanCatalogue:
    """A fixed catalogue with the entries of the plan."""

    revision = Revision(1)

    def __init__(self, plan: MembershipPlan) -> None:
        self._entries = plan.entries()

    def items(self) -> list[ModelEntry]:
        """Return the entries."""
        return self._entries


async def measure(plan: MembershipPlan) -> Figures:
    """Run the measured host and return its resource use."""
    name = HostName(plan.measured)
    settings = plan.settings(plan.measured)
    metrics = Metrics()
    peers = Peers(name, settings.listen.peer, plan.key(), metrics)
    client = CountingClient(HttpLimits(), connect_timeout=1.0)
    membership = Membership(settings, peers, metrics)
    targets = Targets(settings, PlanCatalogue(plan), membership, client, metrics)
    await peers.start()
    await membership.start()
    await targets.start()
    regions = {host.split("-")[0] for host in plan.hosts}
    own = sum(1 for host in plan.hosts if host.split("-")[0] == membership.region)
    async with curio.timeout_after(_MAX_WAIT):
        while not _is_complete(membership, own, len(regions)):
            await curio.sleep(0.1)
    await curio.sleep(plan.warm_up)
    before, polled = metrics.counters(), client.received
    started, cpu = time.monotonic(), time.process_time()
    await curio.sleep(plan.seconds)
    seconds = time.monotonic() - started
    spent = time.process_time() - cpu
    after = metrics.counters()

    def rate(counter: str) -> float:
        return round(difference(after, before, counter) / seconds, 2)

    figures = Figures(
        messages=rate("peers.sent") + rate("peers.received"),
        sent_bytes=rate("peers.sent_bytes"),
        received_bytes=rate("peers.received_bytes"),
        processor_ms=round(1000 * spent / seconds, 3),
        memory_mb=_resident_mb(),
        polls=rate("targets.polls"),
        poll_bytes=round((client.received - polled) / seconds, 1),
        relay=rate("membership.reports") > 0,
    )
    await targets.close()
    await membership.close()
    await peers.close()
    await client.close()
    return figures


def _is_complete(membership: Membership, own: int, regions: int) -> bool:
    reachable = [s for s in membership.regions().values() if s.reachable]
    return len(membership.live()) == own and len(reachable) == regions


def _resident_mb() -> float:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


if __name__ == "__main__":
    content = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=MembershipPlan)
    print(msgspec.json.encode(curio.run(measure, content)).decode())
