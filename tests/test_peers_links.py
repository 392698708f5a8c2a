"""Links between hosts whose connections are reset continuously."""

import itertools
import os
import random
import select
import socket
import struct
import subprocess
import sys
import threading
import time
import unittest
from pathlib import Path

import msgspec

from bronzepoint_emulator.deployment import PortBlock, wait_until
from tests._peers_ring import Ring

ROOT = Path(__file__).resolve().parent.parent
HOSTS = ("a", "b", "c", "d")
RESETS = 4000
LIFETIME = (0.001, 0.02)
"""Range of the seconds after which a connection is reset."""
MAX_WAIT = 90.0
"""Seconds for all calls after the resets to be answered."""
MAX_RESET_WAIT = 150.0
"""Maximum seconds to wait for the resets: a guard against a hang, not a limit on speed.
They take 20 s on an idle machine and 75 to 95 s with a load average of 27 on eight
cores."""
RESET = struct.pack("ii", 1, 0)


class FlakyLink:
    """Forwards connections and resets each after a short random time."""

    def __init__(self, target, rng):
        self.target = target
        self.resets = 0
        self.steady = threading.Event()
        self._random = rng
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._carry, args=(near,), daemon=True).start()

    def _carry(self, near):
        host, _, port = self.target.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)))
        except OSError:
            near.close()
            return
        ends = time.monotonic() + self._random.uniform(*LIFETIME)
        try:
            while self.steady.is_set() or time.monotonic() < ends:
                self._pump(near, far)
        except OSError:
            pass
        if not self.steady.is_set():
            self.resets += 1
        for sock in (near, far):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()

    @staticmethod
    def _pump(near, far):
        for source in select.select((near, far), (), (), LIFETIME[0])[0]:
            data = source.recv(65536)
            if not data:
                raise ConnectionResetError
            (far if source is near else near).sendall(data)

    def close(self):
        """Stop accepting connections."""
        self._listener.close()


class LinksTest(unittest.TestCase):
    def setUp(self):
        ports = PortBlock()
        ports.start()
        self.addCleanup(ports.close)
        listen = {name: ports.address() for name in HOSTS}
        rng = random.Random(1)
        self.links = {
            pair: FlakyLink(listen[pair[1]], rng)
            for pair in itertools.permutations(HOSTS, 2)
        }
        for link in self.links.values():
            self.addCleanup(link.close)
        links = {name: {} for name in HOSTS}
        for (source, sink), link in self.links.items():
            links[source][sink] = link.address
        self.ring = Ring(listen, links)

    def start(self):
        child = subprocess.Popen(
            [sys.executable, "-m", "tests._peers_ring"],
            cwd=ROOT,
            env=os.environ | {"PYTHONFAULTHANDLER": "1"},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for cleanup in (child.stdout.close, child.stdin.close, child.wait, child.kill):
            self.addCleanup(cleanup)
        child.stdin.write(msgspec.json.encode(self.ring).decode() + "\n")
        child.stdin.flush()
        self.assertEqual(child.stdout.readline(), "started\n")
        return child

    def test_hosts_survive_resets_and_reach_each_other_afterwards(self):
        """Guards against a daemon that crashes while a region is being partitioned.

        Connections to other hosts are reset repeatedly while frames are sent over them.
        With nng's push sockets, a connection whose send ended while it was being closed
        returned to the list of writable connections, and the next send read freed
        memory. With its publishing sockets the process survived, but some links never
        transferred anything again.
        """
        child = self.start()

        def enough_resets():
            self.assertIsNone(child.poll(), "the process has died")
            return sum(link.resets for link in self.links.values()) >= RESETS

        wait_until(enough_resets, f"{RESETS} resets", MAX_RESET_WAIT)
        for link in self.links.values():
            link.steady.set()
        child.stdin.write("steady\n")
        child.stdin.flush()
        answered = threading.Timer(MAX_WAIT, child.kill)
        answered.start()
        self.addCleanup(answered.cancel)
        lines = child.stdout.read().split("\n")
        expected = [f"answered {source} {sink}" for source, sink in self.links]
        self.assertEqual(sorted(filter(None, lines)), sorted(expected))
        self.assertEqual(child.wait(), 0)
