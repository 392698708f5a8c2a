"""In-memory network for membership tests: calls and posts, with blocked links."""

from collections.abc import Callable
from typing import Any

import curio
import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.membership import Membership
from bronzepoint_schema.generated.settings import (
    ClusterSection,
    HostSection,
    ListenSection,
    MembershipSection,
    PeerSection,
    Settings,
)

DEADLINE = 30.0
"""Maximum seconds to wait for a condition."""
PUMP_INTERVAL = 0.01
"""Seconds between two deliveries of posts and between two checks of a condition."""
FAST = MembershipSection(interval=0.05, suspect_after=0.4, dead_after=0.8)


class Network:
    """Delivers messages without delay, unless the link is blocked."""

    def __init__(self) -> None:
        self.links: dict[str, FakePeers] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self.posts: list[tuple[FakePeers, str, Any]] = []

    def partition(self, first: list[str], second: list[str]) -> None:
        self.blocked_links |= {(a, b) for a in first for b in second}
        self.blocked_links |= {(b, a) for a in first for b in second}

    def is_open(self, sender: str, receiver: str) -> bool:
        return receiver in self.links and (sender, receiver) not in self.blocked_links

    async def deliver_posts(self) -> None:
        while True:
            await curio.sleep(PUMP_INTERVAL)
            posts, self.posts = self.posts, []
            for receiver, sender, message in posts:
                await receiver.handler(sender, message)


class FakePeers:
    """Fake of the part of Peers that membership uses."""

    def __init__(self, network: Network, name: str) -> None:
        self.network = network
        self.name = name
        self.addresses: dict[str, str] = {}
        self.fixed: set[str] = set()
        network.links[name] = self

    def register(self, area: Any, union: Any, handler: Any) -> None:
        self.decoder = msgspec.msgpack.Decoder(union)
        self.handler = handler

    def set_address(self, peer: str, address: str, fixed: bool = False) -> None:
        if peer in self.fixed:
            return
        self.addresses[peer] = address
        if fixed:
            self.fixed.add(peer)

    def post(self, peer: str, area: Any, message: Any) -> bool:
        if not self.network.is_open(self.name, peer):
            return False
        other = self.network.links[peer]
        copy = other.decoder.decode(msgspec.msgpack.encode(message))
        self.network.posts.append((other, self.name, copy))
        return True

    async def call(self, peer: str, area: Any, message: Any, timeout: float) -> Any:
        if not self.network.is_open(self.name, peer):
            await curio.sleep(timeout)
            raise PeerTimeout(peer, timeout)
        other = self.network.links[peer]
        copy = other.decoder.decode(msgspec.msgpack.encode(message))
        reply = await other.handler(self.name, copy)
        if not self.network.is_open(peer, self.name):
            await curio.sleep(timeout)
            raise PeerTimeout(peer, timeout)
        return self.decoder.decode(msgspec.msgpack.encode(reply))


def make_settings(
    name: str, hosts: list[str], section: MembershipSection = FAST
) -> Settings:
    """Return the settings of one host; host names have the form ``region-number``."""
    region = name.split("-")[0]
    peers = {
        host: PeerSection(host.split("-")[0], "dc", f"{host}:80", f"{host}:90")
        for host in hosts
    }
    return Settings(
        host=HostSection(name, region, "dc"),
        listen=ListenSection(f"{name}:80", f"{name}:90"),
        cluster=ClusterSection("0" * 64),
        membership=section,
        peers=peers,
    )


class Group:
    """Membership instances of several hosts on one network."""

    def __init__(self, hosts: list[str], seeds: list[str] | None = None) -> None:
        self.network = Network()
        self.seeds = hosts if seeds is None else seeds
        self.members = {name: self.make(name) for name in hosts}

    def make(self, name: str) -> Membership:
        settings = make_settings(name, self.seeds)
        return Membership(settings, FakePeers(self.network, name), Metrics())

    async def start(self) -> None:
        self.pump = await curio.spawn(self.network.deliver_posts, daemon=True)
        for member in self.members.values():
            await member.start()

    async def close(self) -> None:
        for member in self.members.values():
            await member.close()
        await self.pump.cancel()

    def stop(self, name: str) -> None:
        """Block all links of a host, which then looks stopped by SIGSTOP."""
        self.network.partition([name], [n for n in self.members if n != name])

    def states(self, name: str) -> dict[str, str]:
        """Return the state of one host according to each other member."""
        others = {n: m for n, m in self.members.items() if n != name}
        infos = {n: member.host(name) for n, member in others.items()}
        return {n: "unknown" if i is None else i.state for n, i in infos.items()}


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with curio.timeout_after(DEADLINE):
        while not condition():
            await curio.sleep(PUMP_INTERVAL)


def run_group(group: Group, scenario: Callable[[Group], Any]) -> None:
    """Start a group, run a scenario on it, and close it."""

    async def main() -> None:
        await group.start()
        try:
            await scenario(group)
        finally:
            await group.close()

    curio.run(main)
