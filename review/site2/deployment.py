"""Starts the project's programs on loopback addresses, as the deploy file says."""

import contextlib
import http.client
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PORTS_WANTED = 8
SETTINGS = """node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{first_port},{last_port}]
seeds = {seeds}
bootstrap = {bootstrap}
loss_counted = {counted}
discovery = "cloud"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","retry","recover","engine","stream","places"]
config_mode = "highest"
data_dir = "{data_dir}"
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 0.645
cores = 2
memory_mb = {memory_mb}
max_fds = 4096
link_mbps = 1000.0
disk_mb = 128
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


class CannotRun(Exception):
    """The case could not be set up on this machine."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._file.flush()


class Provider:
    """Stand-in of the provider's list of replicas."""

    def __init__(self, ip):
        self.entries = []
        provider = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                page = {"instances": provider.entries, "next_token": None}
                body = json.dumps(page).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_args):
                return

        self._server = ThreadingHTTPServer((ip, 0), Handler)
        self._server.daemon_threads = True
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class Deployment:
    """Processes of a small site, each on a loopback address of its own.

    Args:
        record: Log of the case.
        hosts: Role (``core`` or ``entry``) and region by name of the host.
        seeds: Names of the three core hosts that are named as seeds.
        memory_mb: Memory of each machine, as the settings state it.
        disk_mb: Size of the disks; 0: they have no bound. A file can't grow beyond it.

    Attributes:
        own_ends: Number of times that the process of each host ended by itself, or was
            killed as it used more memory than its machine has.
    """

    def __init__(self, record, hosts, seeds, memory_mb=300, disk_mb=0):
        self.record = record
        self.disk_mb = disk_mb
        self.hosts = hosts
        self.seeds = seeds
        self.memory_mb = memory_mb
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.ips = {name: f"{net}.{n}" for n, name in enumerate(hosts, 10)}
        self.own_ip = f"{net}.200"
        self.provider = Provider(self.own_ip)
        self.processes = {}
        self.own_ends = {name: 0 for name in hosts}
        self._is_closing = False
        first = self._free_ports()
        self.peer_port = first
        self.control_port = first + 2
        self.front_port = first + 3
        self.ready_port = first + 4
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: deploy["roles"][name]["run"] for name in deploy["roles"]}
        self.regions = sorted({region for _, region in hosts.values()})

    def _free_ports(self):
        """Return the first of some neighbouring ports that are free on all hosts."""
        for _ in range(50):
            first = random.randrange(20000, 30000)
            with contextlib.ExitStack() as stack:
                try:
                    for ip in self.ips.values():
                        for port in range(first, first + PORTS_WANTED):
                            probe = stack.enter_context(socket.socket())
                            probe.bind((ip, port))
                except OSError:
                    continue
                return first
        raise CannotRun("no free ports")

    def data_dir(self, name):
        """Return the data folder of a host."""
        return self.folder / f"data-{name}"

    def start(self, name, bootstrap):
        """Start the process of a host."""
        role, region = self.hosts[name]
        ip = self.ips[name]
        is_core = role == "core"
        data = self.data_dir(name)
        if is_core:
            data.mkdir(exist_ok=True)
            listen = (
                f'control = "{ip}:{self.control_port}"\n'
                f'directory = "{ip}:{self.control_port}"'
            )
        else:
            listen = (
                f'front = "{ip}:{self.front_port}"\nready = "{ip}:{self.ready_port}"'
            )
        text = SETTINGS.format(
            name=name,
            role=role,
            machine_class="core" if is_core else "front",
            serves=json.dumps(["control", "directory"] if is_core else ["front"]),
            ip=ip,
            zone=f"{region}-a",
            region=region,
            first_port=self.peer_port,
            last_port=self.peer_port + 1,
            seeds=json.dumps(
                [f"{self.ips[seed]}:{self.control_port}" for seed in self.seeds]
            ),
            bootstrap=json.dumps(bootstrap),
            counted=json.dumps(is_core),
            data_dir=data if is_core else "",
            zones="\n".join(f'{r}-a = "{r}"' for r in self.regions),
            listen=listen,
            memory_mb=self.memory_mb,
            cloud=self.provider.address,
        )
        settings = self.folder / f"{name}.toml"
        settings.write_text(text)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BRONZEPOINT_CONFIG"] = str(settings)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.commands[role].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_disk if is_core else None,
            )
        self.record.write(f"started {name} ({role}, {region}) at {ip}")

    def _limit_disk(self):
        if self.disk_mb:
            size = self.disk_mb << 20
            resource.setrlimit(resource.RLIMIT_FSIZE, (size, size))

    def watch(self):
        """Start processes that end by themselves again, as the platform does.

        A process that uses more memory than its machine has is killed first.
        """
        threading.Thread(target=self._watch, daemon=True).start()

    def resident_mb(self, name):
        """Return the resident memory of the process of a host in MB."""
        return _resident_mb(self.processes[name].pid)

    def _watch(self):
        while not self._is_closing:
            for name, process in list(self.processes.items()):
                used_mb = _resident_mb(process.pid) if process.poll() is None else 0
                if used_mb > self.memory_mb:
                    self.record.write(f"{name} uses {used_mb} MB: killed")
                    process.kill()
                    process.wait()
                if process.poll() is not None and not self._is_closing:
                    self.own_ends[name] += 1
                    self.record.write(f"{name} has ended: {process.returncode}")
                    self.start(name, bootstrap=False)
            time.sleep(0.2)

    def signal(self, name, number):
        """Send a signal to the process of a host."""
        self.record.write(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def kill(self, *names):
        """Kill the processes of hosts at the same moment, and wait for their ends."""
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait()
        self.record.write(f"SIGKILL to {', '.join(names)}")

    def wipe(self, name):
        """Empty the data folder of a host whose process has ended."""
        shutil.rmtree(self.data_dir(name))
        self.record.write(f"disk of {name} lost")

    def log_lines(self, name):
        """Return the log lines of a host that can be read."""
        lines = []
        for line in (self.folder / f"{name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def control(self, name, method, path, body=b"", timeout=1.0):
        """Call the operator's API of a core host; return status and body, or None."""
        link = http.client.HTTPConnection(
            self.ips[name], self.control_port, timeout=timeout
        )
        try:
            link.request(method, path, body or None)
            answer = link.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            link.close()

    def put(self, document, names, within):
        """Send a manifest as the operator does, until a host acknowledges it.

        Returns:
            The name of that host; None: nobody did in time.
        """
        body = json.dumps(document).encode()
        end = time.monotonic() + within
        while time.monotonic() < end:
            for name in names:
                answer = self.control(name, "PUT", "/-/config", body)
                if answer is not None:
                    version = document["version"]
                    self.record.write(f"PUT {version} to {name}: {answer[0]}")
                    if answer[0] == 200:
                        return name
            time.sleep(0.2)
        return None

    def read_version(self, name):
        """Read the manifest from a core host; return its version, or None."""
        answer = self.control(name, "GET", "/-/config", timeout=3.0)
        if answer is None or answer[0] != 200:
            return None
        return json.loads(answer[1])["version"]

    def is_ready(self, name):
        """Return whether an entry host answers that it is ready."""
        link = http.client.HTTPConnection(self.ips[name], self.ready_port, timeout=1.0)
        try:
            link.request("GET", "/-/readiness")
            return link.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            link.close()

    def close(self):
        """End all processes, and remove their files."""
        self._is_closing = True
        time.sleep(0.3)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.provider.close()
        if "KEEP" in os.environ:
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def _resident_mb(pid):
    """Return the resident memory of a process in MB."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError, ValueError):
        return 0
    return pages * resource.getpagesize() >> 20


def until(condition, within, pause=0.05):
    """Wait for a condition; return whether it was met in time."""
    end = time.monotonic() + within
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(pause)
    return False


def route(name, prefix, kind, service, **more):
    """Return a route of a manifest."""
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 8000,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2 if kind != "unsafe" else 1,
        "home_regions": [],
        **more,
    }


def manifest(version, routes, services):
    """Return a manifest with routes to plain services."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 0.0,
                "warmup_per_s": 0.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
