"""A process with four hosts that send messages to each other, for tests of their links.

It reads from standard input a ``Ring`` in one line, then a line when the links are no
longer reset, and prints a line for each link over which a call was answered.
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
    """A message to post; only its size matters."""

    text: str


class Ring(msgspec.Struct):
    """Listen address of each host, and the addresses at which it reaches the others."""

    listen: dict[str, str]
    links: dict[str, dict[str, str]]


async def run(ring: Ring) -> None:
    """Post over all links until a line is read, then call over each of them."""
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
    """Start the peers of one host."""
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
    """Post to all other hosts repeatedly."""
    note = Note("x" * 300)
    while True:
        for other in peers.known_peers():
            peers.post(other, Area.DECISIONS, note)
        await curio.sleep(PAUSE)


async def call_until_answered(peers: Peers, other: HostName) -> None:
    """Call a host until it answers; the test limits the time."""
    while True:
        try:
            await peers.call(other, Area.DECISIONS, Note("call"), CALL_TIMEOUT)
            return
        except PeerError:
            await curio.sleep(PAUSE)


if __name__ == "__main__":
    curio.run(run, msgspec.json.decode(sys.stdin.readline(), type=Ring))
