"""Fakes for the interfaces that the policy uses."""

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.policy import Limits, RegionHosts, RequestView, TargetView
from bronzepoint_schema.generated.catalogue import Limits as Bounds
from bronzepoint_schema.generated.catalogue import OwnerItem


class FakeClock:
    """A clock that tests advance by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FakeNet:
    """Delivers calls between hosts at once, unless a host is partitioned."""

    def __init__(self):
        self.handlers = {}
        self.partitioned = set()
        self.calls = 0
        self.items = 0

    def peers(self, host):
        return FakePeers(self, host)


class FakePeers:
    """One host's end of a FakeNet."""

    def __init__(self, net, host):
        self.net = net
        self.host = host

    def register(self, area, union, handler):
        self.net.handlers[self.host] = handler

    async def call(self, peer, area, message, timeout):
        self.net.calls += 1
        self.net.items += len(message.items)
        if self.host in self.net.partitioned or peer in self.net.partitioned:
            raise PeerTimeout(peer, timeout)
        return await self.net.handlers[peer](self.host, message)


class FakeCatalogue:
    """A catalogue with organisations and their limits only."""

    def __init__(self, **owners):
        self.owners = {
            name: OwnerItem(name=name, limits=bounds) for name, bounds in owners.items()
        }

    def owner(self, name):
        return self.owners.get(name)

    def entry(self, name):
        return None

    def class_item(self, cls):
        return None


class FakeRegion:
    """Hosts of one region that share limits, with a fake network and clock."""

    def __init__(self, count, **owners):
        self.clock = FakeClock()
        self.net = FakeNet()
        self.names = [f"h{i}" for i in range(count)]
        self.live = list(self.names)
        self.catalogue = FakeCatalogue(**owners)
        self.limits = {
            name: Limits(
                name,
                self.net.peers(name),
                self.catalogue,
                lambda: RegionHosts(list(self.live), list(self.names)),
                1.0,
                3,
                Metrics(None),
                self.clock,
            )
            for name in self.names
        }

    async def report(self):
        """Let every host report once."""
        for limits in self.limits.values():
            await limits.report()


def request(owner="acme", **fields):
    """Return a request with default values."""
    values = {"request_id": "h0.1", "entry": "chat", "home": "bkk", **fields}
    return RequestView(owner=owner, **values)


def target(name, **fields):
    """Return a target with default values."""
    return TargetView(name, "bkk", "127.0.0.1:1", **fields)


__all__ = [
    "Bounds",
    "FakeCatalogue",
    "FakeClock",
    "FakeNet",
    "FakeRegion",
    "request",
    "target",
]
