"""Starts the programs of the deploy file on loopback addresses, with stand-ins.

The stand-ins are the provider's list, replicas, requesters and the operator. Their
interfaces are those of the users' pages PROTOCOL.md and DEPLOY.md.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from common.http import Answer, Message, Server, call

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIMEOUT = 40.0
"""Seconds within which the site must accept the first manifest and be ready."""
SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{first},{last}]
seeds = {seeds}
bootstrap = {bootstrap}
loss_counted = {counted}
discovery = "cloud"
entry = "directory"
heartbeat_ms = 1200
contracts = {contracts}
config_mode = "highest"
{data}
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = {disk}
[fault_tolerance]
machines = 1
zones = 1
regions = 1
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 6000
ack_ms = 8000
catch_up_s = 4
drain_ms = 5000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 4000
rollback_slack_ms = 250
max_stretch_ms = 10000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
cold_excess = 1.5
cold_slack = 3
evacuate_ms = 5000
recovery_s = 12
pass_ms = 800
reuse_window_s = 10
ttl_max_s = 5
[cloud_api]
address = "{cloud}"
rate_per_s = 47.0
duties = []
lag_ms = 800
"""
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "places"]
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class NotRunnable(Exception):
    """The case can't run on this machine; the message says why."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


@dataclass
class Replica:
    """A sound replica of a plain service: runs each request and seals its answer.

    Attributes:
        runs: Id, method and target of each request that it ran, with the time.
        work: Seconds that one request takes.
    """

    record: Record
    name: str
    service: str
    zone: str
    address: str
    slots: int = 6
    state: str = "ready"
    work: float = 0.02
    quiet: bool = True
    runs: list[tuple[float, str, str, Message]] = field(default_factory=list)
    server: Server | None = None

    def listed(self) -> dict:
        """Return the entry of the provider's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "id": self.name,
        }

    async def start(self) -> None:
        """Listen."""
        self.server = Server(self.handle)
        await self.server.start(self.address)

    async def handle(self, request: Message) -> Answer | None:
        """Answer one request as PROTOCOL.md says."""
        if request.target == "/health":
            ok = 200 if self.state == "ready" else 503
            return ok, {"X-Bronzepoint-Instance-Id": self.name}, b"ok"
        if request.target.startswith("/-/"):
            return 404, {}, b""
        request_id = request.headers.get("x-bronzepoint-request-id")
        if request_id is None:
            return 400, {"X-Bronzepoint-Not-Executed": "1"}, b""
        echo = {"X-Bronzepoint-Request-Id": request_id}
        expected = request.headers.get("x-bronzepoint-expect-instance", self.name)
        if expected != self.name:
            return 421, {**echo, "X-Bronzepoint-Not-Executed": "1"}, b""
        self.note_run(request_id, request)
        return await self.run(request, echo)

    def note_run(self, request_id: str, request: Message) -> None:
        """Record that a request began to run."""
        self.runs.append((time.monotonic(), request_id, request.target, request))
        if not self.quiet:
            self.record.note(f"{self.name} in {self.zone} runs {request_id}")

    async def run(self, request: Message, echo: dict[str, str]) -> Answer | None:
        """Do the work of a request and return its answer."""
        await asyncio.sleep(self.work)
        seal = {"X-Bronzepoint-Response-Seal": f"{self.name}.{echo_id(echo)}"}
        return 200, {**echo, **seal}, f"{self.name} {request.target}\n".encode()


def echo_id(echo: dict[str, str]) -> str:
    """Return the request id that an answer echoes."""
    return echo["X-Bronzepoint-Request-Id"]


class Site:
    """Core and entry processes of a small deployment, and the provider's list.

    Args:
        record: Receives what is done.
        zones: Region by zone.
        core: Zone of each core host, by its name.
        entry: Zone of each entry host, by its name.
    """

    def __init__(
        self,
        record: Record,
        zones: dict[str, str],
        core: dict[str, str],
        entry: dict[str, str],
    ) -> None:
        self.record = record
        self.zones = zones
        self.core = core
        self.entry = entry
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.replicas: list[Replica] = []
        self.extra_entries: list[dict] = []
        self.extra_text = ""
        net = f"127.{random.randrange(40, 250)}.{random.randrange(1, 250)}"
        self.ip = {n: f"{net}.{i}" for i, n in enumerate([*core, *entry], 10)}
        self.net = net
        self._next_replica = 100
        ports = self._free_ports(7)
        self.first, self.front, self.ready, self.control, self.metrics = ports[:5]
        self.replica_port = ports[5]
        self.cloud_address = f"{net}.2:{ports[6]}"
        self.cloud = Server(self._answer_list)
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]

    def _free_ports(self, count: int) -> list[int]:
        """Return ports that are free on all addresses of the site."""
        base = random.randrange(20000, 28000, 20)
        for start in range(base, 60000, 20):
            if all(self._is_free(start + offset) for offset in range(count + 3)):
                return [start, *(start + 3 + i for i in range(count - 1))]
        raise NotRunnable("no free ports")

    def _is_free(self, port: int) -> bool:
        with socket.socket() as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                return False
        return True

    def new_replica(self, service: str, zone: str, kind=Replica, **more) -> Replica:
        """Return a replica that isn't started yet."""
        self._next_replica += 1
        address = f"{self.net}.{self._next_replica}:{self.replica_port}"
        name = f"i-{self._next_replica:08x}"
        replica = kind(self.record, name, service, zone, address, **more)
        self.replicas.append(replica)
        return replica

    async def _answer_list(self, request: Message) -> Answer:
        entries = [r.listed() for r in self.replicas if r.state != "gone"]
        texts = [json.dumps(entry) for entry in entries + self.extra_entries]
        if self.extra_text:
            texts.append(self.extra_text)
        body = f'{{"instances":[{",".join(texts)}],"next_token":null}}'
        return 200, {"Content-Type": "application/json"}, body.encode()

    async def start(self, manifest: dict) -> None:
        """Start everything and wait until the site serves."""
        if not (ROOT / "target/deps").is_dir():
            raise NotRunnable(
                "target/deps is missing: run the build of the deploy file"
            )
        await self.cloud.start(self.cloud_address)
        for replica in self.replicas:
            await replica.start()
        for name in [*self.core, *self.entry]:
            self.start_process(name, bootstrap=True)
        end = time.monotonic() + START_TIMEOUT
        body = json.dumps(manifest).encode()
        while not await self.put(body, next(iter(self.core))):
            if time.monotonic() > end:
                raise NotRunnable("the first manifest was not accepted in time")
            await asyncio.sleep(0.2)
        while not all([await self.is_ready(name) for name in self.entry]):
            if time.monotonic() > end:
                raise NotRunnable("the site was not ready in time")
            await asyncio.sleep(0.2)
        self.record.note("site is ready: " + " ".join(self.ip))

    def start_process(self, name: str, bootstrap: bool = False) -> None:
        """Start the program of a host with the command of the deploy file."""
        is_core = name in self.core
        zone = (self.core | self.entry)[name]
        role = "core" if is_core else "entry"
        ip = self.ip[name]
        listen = (
            {"control": self.control, "directory": self.control}
            if is_core
            else {"front": self.front, "ready": self.ready}
        )
        data = self.folder / f"data-{name}"
        data.mkdir(exist_ok=True)
        seeds = [f"{self.ip[n]}:{self.control}" for n in list(self.core)[:3]]
        settings = SETTINGS.format(
            name=name,
            role=role,
            machine="core" if is_core else "front",
            serves=json.dumps(self._roles[role]["serves"]),
            ip=ip,
            zone=zone,
            region=self.zones[zone],
            first=self.first,
            last=self.first + 2,
            seeds=json.dumps(seeds),
            bootstrap=json.dumps(bootstrap),
            counted=json.dumps(is_core),
            data=f'data_dir = "{data}"' if is_core else "",
            zones="\n".join(f'{z} = "{r}"' for z, r in self.zones.items()),
            listen="\n".join(f'{k} = "{ip}:{port}"' for k, port in listen.items()),
            disk=128 if is_core else 0,
            cloud=self.cloud_address,
            contracts=json.dumps(CONTRACTS),
        )
        path = self.folder / f"{name}.toml"
        path.write_text(settings)
        command = self._roles[role]["run"].split()
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["BRONZEPOINT_CONFIG"] = str(path)
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.processes[name] = process

    async def put(self, body: bytes, name: str, timeout: float = 3.0) -> bool:
        """Send a manifest to a core host; return whether it acknowledged it."""
        answer = await call(
            self.control_address(name), "PUT", "/-/config", {}, body, timeout
        )
        return answer is not None and answer.status == 200

    def control_address(self, name: str) -> str:
        """Return the address of a core host for the operator."""
        return f"{self.ip[name]}:{self.control}"

    def front_address(self, name: str) -> str:
        """Return the address of an entry host for requesters."""
        return f"{self.ip[name]}:{self.front}"

    async def is_ready(self, name: str) -> bool:
        """Return whether an entry host says that it is ready."""
        address = f"{self.ip[name]}:{self.ready}"
        answer = await call(address, "GET", "/-/readiness", timeout=1.0)
        return answer is not None and answer.status == 200

    async def look_up(self, name: str, zone: str) -> list[str]:
        """Return the addresses that a core host's directory gives; empty: none."""
        target = f"/-/lookup?name=h.example&region={self.zones[zone]}&zone={zone}"
        answer = await call(self.control_address(name), "GET", target, timeout=1.0)
        if answer is None or answer.status != 200:
            return []
        return json.loads(answer.body)["addresses"]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        self.processes[name].send_signal(number)

    def log_lines(self, name: str, text: str) -> list[str]:
        """Return the lines of a process's log that contain a text."""
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    async def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in [self.cloud, *(r.server for r in self.replicas)]:
            if server is not None and server._server is not None:
                await server.stop()
        if not os.environ.get("REVIEW_KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    """Return a route of the manifest."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 0,
        "home_regions": [],
        **more,
    }


def plain_service(name: str) -> dict:
    """Return a plain service of the manifest."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "warmup_per_s": 0.0,
    }


def manifest(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a manifest."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
    }


_ids = iter(range(1, 1 << 60))


def new_id() -> str:
    """Return a new request id."""
    return f"{random.getrandbits(24):06x}{next(_ids):010x}"


async def ask(
    address: str,
    target: str,
    request_id: str,
    method: str = "POST",
    body: bytes = b"x" * 600,
    deadline: float = 4.0,
    **more: str,
) -> Message | None:
    """Send a requester's attempt; None if no answer came in time."""
    headers = {
        "Host": "h.example",
        "X-Bronzepoint-Request-Id": request_id,
        "X-Bronzepoint-Deadline-Ms": str(int(deadline * 1000)),
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    return await call(address, method, target, headers, body, deadline)


def main(case, folder: Path) -> int:
    """Run a case: an async function of a record and of whether there is trouble.

    It returns whether the rule was broken. The exit status is that of the issue: 1 if
    the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begins, {'with' if trouble else 'without'} the disruption")

    async def limited() -> bool:
        async with asyncio.timeout(115):
            return await case(record, trouble)

    try:
        broken = asyncio.run(limited())
    except NotRunnable as exc:
        record.note(f"can't run: {exc}")
        return 2
    except Exception as exc:  # The case itself failed, which proves nothing.
        record.note(f"can't run: {exc!r}")
        return 2
    record.note("RULE BROKEN" if broken else "rule held")
    return 1 if broken else 0
