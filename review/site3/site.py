"""Starts the project's programs beside stand-ins of the platform, on loopback.

Uses the standard library alone. Every site has an address range of its own, so that the
fixed metrics port of the deploy file is free for each host.
"""

import asyncio
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from site3.http import Reply, ask, read_head

ROOT = Path(__file__).resolve().parent.parent.parent
START_TIME = 40.0
"""Seconds in which a site has to be ready."""
REGIONS = {"ist-a": "ist", "fra-b": "fra", "mrs-c": "mrs"}
ZONE = "ist-a"
CORE_HOSTS = 3
ENTRY_HOSTS = 2

SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{first}, {last}]
seeds = {seeds}
bootstrap = {bootstrap}
loss_counted = {counted}
discovery = "cloud"
entry = "directory"
heartbeat_ms = 1200
config_mode = "highest"
data_dir = "{data}"
[zones]
ist-a = "ist"
fra-b = "fra"
mrs-c = "mrs"
[listen]
{listen}
[limits]
cpu_share = {cpu_share}
cores = {cores}
memory_mb = {memory}
max_fds = 4096
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
address = "{list_address}"
rate_per_s = 47.0
duties = []
lag_ms = 800
"""


def route(name, prefix, kind, service, **more):
    """Return a route of the manifest, with the values of the users' sheet."""
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def service(name, **more):
    """Return a service of the manifest."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 0.0,
        "warmup_per_s": 0.0,
        **more,
    }


def manifest(version, routes, services):
    """Return a whole manifest."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


class Site:
    """Hosts of one region as processes, with the platform's list of replicas.

    Attributes:
        listed: Entries of the platform's list.
        processes: Processes of the hosts, by name.
        addresses: IP address of each host, by name.
        zones: Zone of each host outside `ZONE`, by name.
    """

    def __init__(self, folder):
        self.folder = Path(folder)
        self.listed = []
        self.processes = {}
        self.addresses = {}
        self.zones = {}
        self.root = Path(tempfile.mkdtemp(prefix="site3-"))
        self.record_lines = []
        self.began = time.monotonic()
        self._net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self._servers = []
        self.ports = {}

    def note(self, text):
        """Add a line to the record of the case."""
        self.record_lines.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def address(self, number):
        """Return an IP address of this site."""
        return f"{self._net}.{number}"

    def free_port(self):
        """Return a port that is free on all addresses."""
        with socket.socket() as sock:
            sock.bind(("0.0.0.0", 0))
            return sock.getsockname()[1]

    async def serve(self, ip, port, handle):
        """Listen with a stand-in; return its address."""
        server = await asyncio.start_server(handle, ip, port, limit=1 << 20)
        self._servers.append(server)
        return f"{ip}:{port}"

    async def start(self, document):
        """Start all hosts, and put the first manifest."""
        base = random.randint(11000, 30000)
        self.ports = {
            "first": base,
            "front": base + 20,
            "ready": base + 21,
            "control": base + 22,
            "directory": base + 23,
        }
        list_ip = self.address(200)
        self.list_address = await self.serve(list_ip, base + 24, self._answer_list)
        cores = [f"core-{n}" for n in range(1, CORE_HOSTS + 1)]
        for number, name in enumerate(cores, start=1):
            self.addresses[name] = self.address(number)
        for number in range(1, ENTRY_HOSTS + 1):
            self.addresses[f"front-{number}"] = self.address(100 + number)
        for name in self.addresses:
            self.start_host(name, bootstrap=True)
        await self._until(lambda: self._is_put(document))
        for name in self.fronts():
            await self._until(lambda name=name: self.is_ready(name))
        self.note("site is ready")

    def fronts(self):
        """Return the names of the entry hosts."""
        return [name for name in self.addresses if name.startswith("front")]

    def cores(self):
        """Return the names of the core hosts."""
        return [name for name in self.addresses if name.startswith("core")]

    def front_address(self, name):
        """Return the address that requesters use."""
        return f"{self.addresses[name]}:{self.ports['front']}"

    def control_address(self, name):
        """Return the address that the operator uses."""
        return f"{self.addresses[name]}:{self.ports['control']}"

    def start_host(self, name, bootstrap=False):
        """Start the process of a host with the command of the deploy file."""
        role = "core" if name.startswith("core") else "entry"
        ip = self.addresses[name]
        ports = self.ports
        data = self.root / f"data-{name}"
        data.mkdir(exist_ok=True)
        if role == "core":
            listen = {"control": ports["control"], "directory": ports["directory"]}
        else:
            listen = {"front": ports["front"], "ready": ports["ready"]}
        seeds = [f"{self.addresses[core]}:{ports['control']}" for core in self.cores()]
        text = SETTINGS.format(
            name=name,
            role=role,
            machine_class="core" if role == "core" else "front",
            serves=json.dumps(
                ["control", "directory"] if role == "core" else ["front"]
            ),
            ip=ip,
            zone=self.zones.get(name, ZONE),
            region=REGIONS[self.zones.get(name, ZONE)],
            first=ports["first"],
            last=ports["first"] + 15,
            seeds=json.dumps(seeds),
            bootstrap=json.dumps(bootstrap),
            counted=json.dumps(role == "core"),
            data=data if role == "core" else "",
            listen="\n".join(f'{key} = "{ip}:{port}"' for key, port in listen.items()),
            cpu_share=0.645 if role == "core" else 0.537,
            cores=1 if role == "core" else 2,
            memory=296 if role == "core" else 300,
            disk=128 if role == "core" else 0,
            list_address=self.list_address,
        )
        path = self.root / f"{name}.toml"
        path.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"][role]["run"].split()
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["PYTHONDONTWRITEBYTECODE"] = "1"
        kept["BRONZEPOINT_CONFIG"] = str(path)
        with open(self.root / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=kept,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, name, number):
        """Send a signal to a host's process."""
        self.processes[name].send_signal(number)

    def end_host(self, name):
        """Kill a host's process and wait for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    async def close(self):
        """End all processes, and write the record."""
        for name in list(self.processes):
            self.end_host(name)
        for server in self._servers:
            server.close()
        text = "\n".join([*self.record_lines, ""])
        (self.folder / "record.txt").write_text(text)
        if os.environ.get("KEEP"):
            print(self.root, file=sys.stderr)
        else:
            shutil.rmtree(self.root, ignore_errors=True)

    def log_lines(self, name):
        """Return the decoded log lines of a host."""
        lines = (self.root / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def put(self, document, name="core-1"):
        """Send a manifest to a core host; return the answer."""
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        address = self.control_address(name)
        return await ask(address, "PUT", "/-/config", headers, body, 6.0)

    async def is_ready(self, name):
        """Return whether an entry host is ready."""
        address = f"{self.addresses[name]}:{self.ports['ready']}"
        reply = await ask(address, "GET", "/-/readiness", {}, b"", 1.0)
        return reply.status == 200

    async def _is_put(self, document):
        reply = await self.put(document)
        self.note(f"manifest {document['version']}: {reply.status}")
        return reply.status == 200

    async def _until(self, condition):
        end = time.monotonic() + START_TIME
        while time.monotonic() < end:
            try:
                if await condition():
                    return
            except (TimeoutError, OSError, EOFError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun("the site was not ready in time")

    async def _answer_list(self, reader, writer):
        try:
            while await read_head(reader) is not None:
                body = json.dumps({"instances": list(self.listed), "next_token": None})
                writer.write(Reply.encode(200, {}, body.encode()))
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()


class CannotRun(Exception):
    """The case can't run here."""


def run_case(folder, case):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Args:
        folder: Folder of the case.
        case: Coroutine function with the site and whether there is a disruption;
            returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        # The channels of stand-ins are cancelled at the end.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        site = Site(folder)
        try:
            async with asyncio.timeout(110):
                broken = await case(site, trouble)
                site.note(f"disruption: {trouble}; rule broken: {broken}")
                return 1 if broken else 0
        except (CannotRun, TimeoutError) as exc:
            site.note(f"could not run: {exc!r}")
            return 2
        finally:
            await site.close()

    sys.exit(asyncio.run(run()))
