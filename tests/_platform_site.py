"""Simulated platform: list of targets, stub targets, settings files and processes."""

import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpClient, HttpError, HttpLimits, HttpServer
from bronzepoint_emulator.deployment import PortBlock
from tests._stand_in_target import StandInTarget

ROOT = Path(__file__).resolve().parent.parent
STATE_TIMEOUT = 20.0
"""Seconds to wait for an expected state."""
MAX_START_WAIT = 60.0
"""Seconds to wait for the processes of a site to start.

On a busy machine loading the interpreter alone may take most of a minute. No guarantee
of the system is tested by this limit.
"""
MAX_LOG_EXCERPT = 1500
"""Number of trailing log characters shown per process if a site doesn't start."""
AMPLE_RETRIES = "retry_ratio = 20"
"""Lets a process that has just started retry each request. Tests of the retry budget
set the limits that they check."""
FIXED_PORTS = 7
"""Number of ports of a site besides those of its targets."""
DEFAULT_HOSTS = {"core": ("core", "127.0.0.2"), "entry": ("entry", "127.0.0.3")}
"""Role and address of each host, by its name."""
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "{region}-a"
region = "{region}"
port_range = [{first},{last}]
seeds = {seeds}
bootstrap = {first_start}
data_dir = "{data}"
[zones]
x-a = "x"
y-a = "y"
z-a = "z"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{control}"
[bounds]
grace_s = {grace}
{bounds}
[cloud_api]
address = "{list}"
[limits]
{limits}
"""


def manifest(version, **changes):
    """Return a manifest with a route of each kind; ``changes`` apply to the first."""

    def route(prefix, kind, **more):
        return {
            "name": f"r{prefix}",
            "host": "h.example",
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": 4000,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": "s",
            "max_attempts": 2,
            **more,
        }

    return {
        "version": version,
        "routes": [
            {**route("/safe/", "safe"), **changes},
            route("/once/", "unsafe", max_attempts=1),
            route("/stream/", "streaming", resumable=True),
        ],
        "services": [{"name": "s", "health_path": "/health", "max_conns": 50}],
        "limits": {},
    }


class PlatformSite:
    """Core and entry hosts as processes, with stub targets.

    Attributes:
        hosts: Role and address of each host by name.
        regions: Region of each host outside "x", the region of all targets.
        seeds: Hosts that the settings of a host name as seeds when it starts; None:
            all core hosts.
        bounds: Further lines of the settings' table of bounds.
        limits: Lines of the settings' table of the machine's limits.
        code: Folder of the source code that is run.
        keep: Whether files and logs are kept after the end.
        unread: Read end of the output pipe, by name, for hosts whose log isn't read.
    """

    def __init__(self, grace=8.0, targets=2, hosts=DEFAULT_HOSTS):
        self.hosts = hosts
        self.regions = {}
        self.seeds = None
        self.bounds = AMPLE_RETRIES
        self.limits = ""
        self.code = ROOT
        self.keep = False
        self.unread = {}
        self.grace = grace
        self.target_count = targets
        self.root = Path(tempfile.mkdtemp())
        self.ports = PortBlock()
        self.processes = {}
        self.client = HttpClient(HttpLimits(), 1.0)
        self.listed = []

    async def __aenter__(self):
        self.ports.start()
        count = FIXED_PORTS + self.target_count
        port = [int(self.ports.address().rpartition(":")[2]) for _ in range(count)]
        self.metrics = port[-1]
        self.first, self.front, self.ready, self.control = port[0], *port[2:5]
        self.list_server = HttpServer(self._answer_list, HttpLimits())
        await self.list_server.start(f"127.0.0.1:{port[5]}")
        self.targets = [
            self.make_target(f"i-{n}", "127.0.0.1", port[5 + n])
            for n in range(1, self.target_count + 1)
        ]
        for target in self.targets:
            await target.server.start(target.address)
        self.listed = [target.listed() for target in self.targets]
        for name in self.hosts:
            self.start(name, first=True)
        try:
            await self.until_put(manifest(1), MAX_START_WAIT)
            await self.until(self._is_ready)
            self._check_running()
        except AssertionError as exc:
            diagnostics = self.diagnostics()
            await self.__aexit__()
            raise AssertionError(f"the site did not start: {diagnostics}") from exc
        return self

    def _check_running(self):
        """Check that no process has ended.

        Processes that another run has left could answer at its address instead.
        """
        ended = [name for name, p in self.processes.items() if p.poll() is not None]
        if ended:
            raise AssertionError(f"{ended} ended at the start")

    def diagnostics(self):
        """Return exit status and last log output of each process, for failures."""
        return {
            name: (
                process.poll(),
                (self.root / f"{name}.log").read_text()[-MAX_LOG_EXCERPT:],
            )
            for name, process in self.processes.items()
        }

    def make_target(self, name, ip, port):
        return StandInTarget(name, ip, port)

    async def __aexit__(self, *exc_info):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        await self.client.close()
        await self.list_server.close(0)
        for target in self.targets:
            await target.server.close(0)
        self.ports.close()
        for pipe in self.unread.values():
            if pipe is not None:
                pipe.close()
        if not self.keep:
            shutil.rmtree(self.root)

    def start(self, name, first=True):
        """Start a process.

        Args:
            name: Name of the host.
            first: Whether the whole system starts for the first time.
        """
        role, ip = self.hosts[name]
        data = self.root / f"data-{name}"
        data.mkdir(exist_ok=True)
        path = self.root / f"{name}.toml"
        seeds = self.seeds or [n for n, host in self.hosts.items() if host[0] == "core"]
        text = SETTINGS.format(
            name=name,
            ip=ip,
            region=self.regions.get(name, "x"),
            first=self.first,
            last=self.first + 1,
            seeds=json.dumps([f"{self.hosts[n][1]}:{self.control}" for n in seeds]),
            first_start=json.dumps(first),
            control=self.control,
            front=self.front,
            ready=self.ready,
            data=data,
            grace=self.grace,
            bounds=self.bounds,
            limits=self.limits,
            list=self.list_server.address,
        )
        path.write_text(text)
        log = self._open_log(name)
        self.processes[name] = subprocess.Popen(
            [
                sys.executable,
                str(self.code / "platform" / "daemon.py"),
                role,
                str(self.metrics),
            ],
            env={**os.environ, "BRONZEPOINT_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def _open_log(self, name):
        if name not in self.unread:
            return open(self.root / f"{name}.log", "ab")
        read_end, write_end = os.pipe()
        self.unread[name] = open(read_end, "rb")
        return open(write_end, "wb")

    def lines(self, role):
        """Return the decoded log lines of a process."""
        text = (self.root / f"{role}.log").read_text()
        # The last line may be incomplete while the process writes it.
        lines = text[: text.rfind("\n") + 1].splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def signal(self, role, number=signal.SIGTERM):
        self.processes[role].send_signal(number)

    async def call(self, method, path, body=b"", address=None, headers=(), wait=8.0):
        address = address or f"127.0.0.3:{self.front}"
        headers = {"host": "h.example", **dict(headers)}
        return await self.client.fetch(
            address, method, path, headers, body, wait, fresh=True
        )

    async def ask(self, path, request_id="id-1", deadline_ms=4000, **more):
        headers = {
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Deadline-Ms": str(deadline_ms),
            **more,
        }
        return await self.call("POST", path, b"body", headers=headers)

    async def control_call(self, method, path, body=b"", name="core"):
        address = f"{self.hosts[name][1]}:{self.control}"
        return await self.call(method, path, body, address)

    async def put(self, document, name="core"):
        body = json.dumps(document).encode()
        return await self.control_call("PUT", "/-/config", body, name)

    async def until_put(self, document, max_wait=STATE_TIMEOUT):
        async def accepted():
            first = next(iter(self.hosts))
            return (await self.put(document, first)).status == 200

        await self.until(accepted, max_wait)

    async def until(self, condition, max_wait=STATE_TIMEOUT):
        end = monotonic() + max_wait
        while True:
            try:
                if await condition():
                    return
            except HttpError:
                pass
            if monotonic() > end:
                raise AssertionError("the expected state was not observed")
            await curio.sleep(0.05)

    async def _is_ready(self):
        entry = next(ip for role, ip in self.hosts.values() if role == "entry")
        address = f"{entry}:{self.ready}"
        return (await self.call("GET", "/-/readiness", address=address)).status == 200

    async def _answer_list(self, exchange):
        body = json.dumps({"instances": self.listed, "next_token": None}).encode()
        await exchange.respond(200, {"Content-Type": "application/json"}, body)


__all__ = ["PlatformSite", "manifest"]
