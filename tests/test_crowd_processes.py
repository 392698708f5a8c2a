"""Clients that keep no limits: processes stay within the memory of their machine."""

import os
import unittest
from pathlib import Path

import curio
from nose2.tools import params

from bronzepoint_common.http import HttpClient, HttpLimits
from bronzepoint_emulator.deployment import Deployment, saphan, wait_until
from tests._crowd import (
    LARGE_CHUNK,
    SMALL_CHUNKS,
    Crowd,
    announced,
    chunked,
    head,
    open_head,
)
from tests._large_manifest import large_manifest
from tests._platform_site import PlatformSite

MEMORY_MB = {"entry": 160, "core": 200}
"""Memory of the machines, of which their settings tell."""
MAX_FDS = 500
"""Descriptors of the machines, 200 of which are for files."""
RESERVED_FDS = 200
ANSWER_WAIT = 60.0
"""Seconds to wait for the answer to an ordinary request."""
NEARLY_4_MB, NEARLY_16_MB, FAR_OVER = 63, 255, 160
"""Number of chunks of 64 KB: short of the largest body of callers, of the largest one
of operators, and far over the former."""
HALF_A_MB = 64
"""Number of sends of chunks of one byte."""

UNREAD = 100
"""Number of connections whose answers aren't read."""
GET_CONFIG = [head("GET", "/-/config") * 8]
GET_METRICS = [head("GET", "/metrics") * 4000]
LARGE_MANIFEST = large_manifest(2, 6000)

CHAT = "/v1/chat/completions"
DAEMON_LIMITS = {"client_memory": str(32 << 20), "max_body": str(4 << 20)}

# Role, port, number of connections and what each of them sends.
CROWDS = (
    ("entry", "front", 120, chunked("POST", "/safe/a", LARGE_CHUNK, NEARLY_4_MB)),
    ("entry", "front", 120, chunked("POST", "/stream/a", LARGE_CHUNK, NEARLY_4_MB)),
    ("entry", "front", 120, chunked("POST", "/once/a", LARGE_CHUNK, NEARLY_4_MB)),
    ("entry", "front", 120, chunked("POST", "/nowhere", LARGE_CHUNK, NEARLY_4_MB)),
    ("entry", "front", 120, announced("POST", "/safe/a", 4 << 20, 4128768)),
    ("entry", "front", 120, chunked("POST", "/safe/a", LARGE_CHUNK, FAR_OVER)),
    ("entry", "front", 120, announced("POST", "/safe/a", 1 << 40, 10 << 20)),
    ("entry", "front", 60, chunked("POST", "/safe/a", SMALL_CHUNKS, HALF_A_MB)),
    ("entry", "front", 700, open_head(60000)),
    ("entry", "forward", 120, chunked("POST", "/safe/a", LARGE_CHUNK, NEARLY_4_MB)),
    ("entry", "ready", 700, open_head(16000)),
    ("core", "control", 60, chunked("PUT", "/-/config", LARGE_CHUNK, NEARLY_16_MB)),
    ("core", "control", 60, announced("PUT", "/-/config", 16 << 20, 16711680)),
    ("core", "control", 60, chunked("PUT", "/-/config", SMALL_CHUNKS, HALF_A_MB)),
    ("core", "control", 700, open_head(16000)),
    ("core", "metrics", 700, open_head(16000)),
)


def peak_mb(process):
    """Return the most memory that a process has used, in MB."""
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (peak,) = (line for line in lines if line.startswith("VmHWM:"))
    return int(peak.split()[1]) / 1024


class TestCrowd(unittest.TestCase):
    @params(*CROWDS)
    def test_process_outlasts_clients_that_keep_no_limits(
        self, role, port, count, parts
    ):
        """Guards against a process that clients make use more memory or descriptors
        than its machine has, and against clients that keep others from being served."""
        curio.run(self.check_crowd, role, port, count, parts)

    @params(("control", GET_CONFIG), ("metrics", GET_METRICS))
    def test_process_outlasts_clients_that_read_no_answers(self, port, parts):
        """Guards against a process whose memory is used up by answers that wait for
        clients who don't read them."""
        curio.run(self.check_crowd, "core", port, UNREAD, parts, True)

    async def check_crowd(self, role, port, count, parts, is_large=False):
        """Let a crowd connect to a port, ask as others do, then check the process."""
        site = PlatformSite()
        site.limits = f"memory_mb = {MEMORY_MB[role]}\nmax_fds = {MAX_FDS}"
        async with site:
            site.client = HttpClient(HttpLimits(max_body=16 << 20), 1.0)
            if is_large:
                answer = await site.control_call("PUT", "/-/config", LARGE_MANIFEST)
                self.assertEqual(answer.status, 200)
            ports = {
                "front": site.front,
                "forward": site.first + 1,
                "ready": site.ready,
                "control": site.control,
                "metrics": site.metrics,
            }
            crowd = Crowd((site.hosts[role][1], ports[port]), count)
            try:
                await curio.run_in_thread(crowd.send, list(parts))
                await site.until(lambda: self.is_served(site, is_large), ANSWER_WAIT)
                process = site.processes[role]
                self.assertIsNone(process.poll())
                self.assertLess(peak_mb(process), MEMORY_MB[role])
                descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
                self.assertLess(descriptors, MAX_FDS - RESERVED_FDS)
            finally:
                crowd.close()

    async def is_served(self, site, is_large):
        """Return whether a request and a change of the configuration are taken."""
        if not is_large:
            answer = await site.ask("/safe/a", f"ordinary-{os.urandom(4).hex()}")
            if answer.status != 200:
                return False
        read = await site.control_call("GET", "/-/config")
        return read.status == 200


class TestDaemonCrowd(unittest.TestCase):
    def test_daemon_outlasts_clients_that_keep_no_limits(self):
        """Guards against a daemon of our own interface that clients make use more
        memory than its settings allow."""
        layout = saphan(hosts_per_region=1)
        layout.settings["http"] = DAEMON_LIMITS
        with Deployment(layout) as deployment:
            client = deployment.client("bkk-1")
            parts = chunked("POST", CHAT, LARGE_CHUNK, NEARLY_4_MB)
            token = f"\r\nAuthorization: Bearer {client.token}\r\n".encode()
            parts[0] = parts[0].replace(b"\r\n", token, 1)
            address, _, port = deployment.address("bkk-1").partition(":")
            crowd = Crowd((address, int(port)), 120)
            try:
                crowd.send(parts)
                wait_until(lambda: self.is_answered(client), "an answer")
                process = deployment.process("bkk-1")
                self.assertTrue(process.alive)
                self.assertLess(peak_mb(process), MEMORY_MB["entry"])
            finally:
                crowd.close()

    def is_answered(self, client):
        return client.chat("phrasebook", "a", 3).status == 200


if __name__ == "__main__":
    unittest.main()
