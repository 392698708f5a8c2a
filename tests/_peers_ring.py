"""A process with four hosts that post to each other, for tests of their links.

Standard input gives a ``Ring`` in one line, then a line when the links are left alone;
the answer is a line for each link over which a call was answered.
"""

import sys

import curio
import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_schema.generated.settings import MetricsSection
from bronzepoint_schema.ids import HostName

KEY = b"k" * 32
PAUSE = 0.0003
CALL_TIMEOUT = 1.0


class Note(msgspec.Struct, tag="note"):
    """Something to post; its size is what matters."""

    text: str


class Ring(msgspec.Struct):
    """Where each host listens, and at which address it reaches each other one."""

    listen: dict[str, str]
    links: dict[str, dict[str, str]]


async def run(ring: Ring) -> None:
    """Post over all links until a line comes, then call over each."""
    hosts = {name: await start_host(name, ring) for name in ring.listen}
    posting = [await curio.spawn(post, peers) for peers in hosts.values()]
    print("started", flush=True)
    await curio.run_in_thread(sys.stdin.readline)
    for task in posting:
        await task.cancel()
    for name, peers in hosts.items():
        for other in ring.links[name]:
            await call_until_answered(peers, HostName(other))
            print(f"answered {name} {other}", flush=True)
    for peers in hosts.values():
        await peers.close()


async def start_host(name: str, ring: Ring) -> Peers:
    """Start one host's side."""
    metrics = Metrics(MetricsSection(), "test")
    peers = Peers(HostName(name), ring.listen[name], KEY, metrics)

    async def answer(sender: HostName, note: Note) -> Note:
        return note

    peers.register(Area.DECISIONS, Note, answer)
    for other, address in ring.links[name].items():
        peers.set_address(HostName(other), address, fixed=True)
    await peers.start()
    return peers


async def post(peers: Peers) -> None:
    """Post to every other host, again and again."""
    note = Note("x" * 300)
    while True:
        for other in peers.known():
            peers.post(other, Area.DECISIONS, note)
        await curio.sleep(PAUSE)


async def call_until_answered(peers: Peers, other: HostName) -> None:
    """Call a host until it answers; the test limits how long."""
    while True:
        try:
            await peers.call(other, Area.DECISIONS, Note("call"), CALL_TIMEOUT)
            return
        except PeerError:
            await curio.sleep(PAUSE)


if __name__ == "__main__":
    curio.run(run, msgspec.json.decode(sys.stdin.readline(), type=Ring))
