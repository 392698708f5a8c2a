"""Links between hosts whose open connections carry nothing any more."""

import unittest

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers, PeerTimeout
from bronzepoint_schema.ids import HostName
from tests._addresses import free_address

KEY = b"k" * 32
CALL_TIMEOUT = 0.5
"""Seconds after which a call counts as unanswered."""
MAX_UNANSWERED = 3
"""Calls that may go unanswered before the links are used again."""
READ_BYTES = 65536


class Note(msgspec.Struct, tag="note"):
    """A message that is sent back."""

    text: str


class Link:
    """Forwards connections, and can make the open ones silent for good.

    Attributes:
        address: Address of the link.
        opened: Number of connections.
    """

    def __init__(self, target):
        self.target = target
        self.address = free_address()
        self.opened = 0
        self._silent = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._task = await curio.spawn(
            curio.tcp_server, host, int(port), self._carry, daemon=True
        )

    async def close(self):
        await self._task.cancel()

    def silence(self):
        """Let no byte of the connections that are open now pass any more."""
        self._silent = set(range(self.opened))

    async def _carry(self, near, address):
        number, self.opened = self.opened, self.opened + 1
        host, _, port = self.target.rpartition(":")
        far = await curio.open_connection(host, int(port))
        async with far:
            while data := await near.recv(READ_BYTES):
                if number in self._silent:
                    await curio.sleep(3600.0)
                await far.sendall(data)


class Pair:
    """Two hosts, and a link for each direction."""

    async def __aenter__(self):
        listen = {name: free_address() for name in ("a", "b")}
        self.links = {"b": Link(listen["b"]), "a": Link(listen["a"])}
        self.hosts = {}
        for name, address in listen.items():
            other = HostName("b" if name == "a" else "a")
            peers = Peers(HostName(name), address, KEY, Metrics())
            peers.register(Area.DECISIONS, Note, self._answer)
            peers.set_address(other, self.links[other].address)
            self.hosts[name] = peers
            await self.links[name].start()
            await peers.start()
        return self

    async def __aexit__(self, *exc_info):
        for peers in self.hosts.values():
            await peers.close()
        for link in self.links.values():
            await link.close()

    async def _answer(self, sender, note):
        return note

    async def call(self):
        """Call from a to b; return whether the call was answered."""
        try:
            note = Note("x")
            await self.hosts["a"].call(
                HostName("b"), Area.DECISIONS, note, CALL_TIMEOUT
            )
        except PeerTimeout:
            return False
        return True


class TestSilentConnections(unittest.TestCase):
    @params(("b",), ("a",), ("a", "b"))
    def test_calls_are_answered_again_after_connections_went_silent(self, *silent):
        """Guards against hosts that go on writing to connections that carry nothing."""

        async def main():
            async with Pair() as pair:
                while not await pair.call():
                    pass
                for name in silent:
                    pair.links[name].silence()
                answered = [await pair.call() for _ in range(MAX_UNANSWERED + 1)]
                return answered, {n: link.opened for n, link in pair.links.items()}

        answered, opened = curio.run(main)
        self.assertTrue(answered[-1], answered)
        self.assertLessEqual(max(opened.values()), 2 + MAX_UNANSWERED)

    def test_connections_stay_open_while_calls_are_answered(self):
        """Guards against hosts that answer each new connection with another one."""

        async def main():
            async with Pair() as pair:
                while not await pair.call():
                    pass
                before = {n: link.opened for n, link in pair.links.items()}
                for _ in range(50):
                    await pair.call()
                    await curio.sleep(0.01)
                return before, {n: link.opened for n, link in pair.links.items()}

        before, after = curio.run(main)
        self.assertEqual(before, after)


if __name__ == "__main__":
    unittest.main()
