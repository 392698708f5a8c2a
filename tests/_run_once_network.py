"""Run-once hosts over a simulated network that loses, duplicates or delays messages."""

import heapq
import itertools
from collections.abc import Callable
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerFailed, PeerTimeout
from bronzepoint_node.run_once import Clock, RunOnce
from bronzepoint_schema.generated.settings import RunOnceSection

MAX_WAIT = 30.0
"""Maximum seconds to wait for a condition."""
TICK = 0.0005
"""Seconds between two deliveries of due messages."""
MAX_CALL_TIME = 0.2
"""Maximum seconds before a call to an unreachable host fails."""
DIGEST = b"digest"


class ShiftedClock(Clock):
    """Clock that a test advances."""

    def __init__(self):
        self.wall_shift = 0.0
        self.elapsed_shift = 0.0

    def wall_ms(self):
        return super().wall_ms() + round(self.wall_shift * 1000)

    def elapsed(self):
        return super().elapsed() + self.elapsed_shift


class FakePeers:
    """Fake of the part of Peers that RunOnce uses."""

    def __init__(self, name, network):
        self.name = name
        self.closed = False
        self._network = network
        self._union = None
        self._handler = None

    @property
    def listening(self):
        return not self.closed and self._handler is not None

    def register(self, area, union, handler):
        self._union = union
        self._handler = handler

    def post(self, peer, area, message):
        if not self.closed:
            self._network.send(self.name, peer, msgspec.msgpack.encode(message))
        return not self.closed

    async def call(self, peer, area, message, timeout):
        data = msgspec.msgpack.encode(message)
        request_delays = self._network.delays_for(self.name, peer, message)
        reply_delays = self._network.delays_for(peer, self.name, message)
        target = self._network.peers.get(peer)
        down = self.closed or target is None or not target.listening
        if down or not request_delays or not reply_delays:
            await curio.sleep(min(timeout, MAX_CALL_TIME))
            raise PeerTimeout(peer, timeout)
        await curio.sleep(request_delays[0])
        try:
            reply = await target.handle(self.name, data)
        except Exception as exc:
            raise PeerFailed(peer, str(exc)) from exc
        await curio.sleep(reply_delays[0])
        return msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=self._union)

    async def handle(self, sender, data):
        message = msgspec.msgpack.decode(data, type=self._union)
        return await self._handler(sender, message)


class FakeNetwork:
    """Delivers messages after delays in seconds.

    The delay function returns one delay for each copy of a message to deliver; an
    empty list loses the message.
    """

    def __init__(self, delays: Callable[..., list[float]] | None = None):
        self.delays = delays or (lambda *_: [0.0])
        self.peers: dict[str, FakePeers] = {}
        self.blocked_links: set[frozenset[str]] = set()
        self.should_hold: Callable[..., bool] = lambda *_: False
        self.held_messages: list[tuple[str, str, bytes]] = []
        self.sent = 0
        self.sent_bytes = 0
        self._queue = []
        self._order = itertools.count()
        self._now = 0.0

    def delays_for(self, source, target, message):
        if frozenset((source, target)) in self.blocked_links:
            return []
        return self.delays(source, target, message)

    def send(self, source, target, data):
        self.sent += 1
        self.sent_bytes += len(data)
        if self.should_hold(source, target, msgspec.msgpack.decode(data)):
            self.held_messages.append((source, target, data))
            return
        for delay in self.delays_for(source, target, data):
            item = (self._now + delay, next(self._order), source, target, data)
            heapq.heappush(self._queue, item)

    def release_held(self):
        """Deliver the messages that were held."""
        self.should_hold = lambda *_: False
        for source, target, data in self.held_messages:
            item = (self._now, next(self._order), source, target, data)
            heapq.heappush(self._queue, item)
        self.held_messages = []

    def isolate(self, name):
        self.blocked_links |= {
            frozenset((name, other)) for other in self.peers if other != name
        }

    async def run(self):
        while True:
            self._now = await curio.clock()
            while self._queue and self._queue[0][0] <= self._now:
                _, _, source, target, data = heapq.heappop(self._queue)
                if target in self.peers and self.peers[target].listening:
                    await self.peers[target].handle(source, data)
            await curio.sleep(TICK)


class Region:
    """Hosts of one region in this process, each with its own RunOnce."""

    def __init__(self, names="abc", delays=None, folder=None, disks=None, **section):
        values = {"lifetime": 900.0, "clock_skew": 0.02, "timeout": 0.4, **section}
        self.section = RunOnceSection(**values)
        self.network = FakeNetwork(delays)
        self.folder: Path | None = folder
        self.disks = set(names if disks is None else disks)
        self.settings = list(names)
        self.metrics = Metrics()
        self.clocks = {name: ShiftedClock() for name in names}
        self.hosts: dict[str, RunOnce] = {}

    async def __aenter__(self):
        self._delivery_task = await curio.spawn(self.network.run, daemon=True)
        for name in self.settings:
            await self.boot(name)
        await self.all_ready()
        return self

    async def __aexit__(self, *_):
        for name in list(self.hosts):
            await self.kill(name)
        await self._delivery_task.cancel()

    async def boot(self, name, settings=None):
        """Start a host; it restores its state if its folder holds a log."""
        settings = settings if settings is not None else list(self.settings)
        peers = FakePeers(name, self.network)
        has_disk = self.folder is not None and name in self.disks
        folder = self.folder / name if has_disk else None
        self.clocks.setdefault(name, ShiftedClock())
        host = RunOnce(
            name,
            peers,
            lambda: settings,
            self.section,
            folder,
            self.metrics,
            self.clocks[name],
        )
        self.network.peers[name] = peers
        self.hosts[name] = host
        await host.start()
        return host

    async def kill(self, name):
        """Stop a host as SIGKILL does, so that it sends nothing more."""
        self.network.peers.pop(name).closed = True
        await self.hosts.pop(name).close(grace=0)

    async def all_ready(self):
        await self.wait(
            lambda: all(host.ready and host.recovered for host in self.hosts.values())
        )

    def counters(self):
        return self.metrics.counters()

    async def wait(self, condition):
        """Wait until a condition holds; time out only on a fault."""
        async with curio.timeout_after(MAX_WAIT):
            while True:
                result = condition()
                if result if isinstance(result, bool) else await result:
                    return
                await curio.sleep(0.005)
