"""Callers that leave fill a process's memory, and all others lose their requests."""

import http.client
import os
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from site2.deployment import (  # noqa: E402
    CannotRun,
    Deployment,
    Record,
    manifest,
    route,
    until,
)
from site2.replica import Replica  # noqa: E402
from site2.requester import new_id  # noqa: E402

HOSTS = {
    "a1": ("core", "a"),
    "b1": ("core", "b"),
    "c1": ("core", "c"),
    "front": ("entry", "a"),
}
SEEDS = ["a1", "b1", "c1"]
MEMORY_MB = 300
"""Memory of an entry host, as the users' sheets state it."""
LARGE = 4_000_000
"""Bytes of a large request's body; the manifest allows 4,194,304."""
LARGE_CALLERS = 6
PAUSE = 0.25
"""Seconds between the sends of two large requests of one caller, at least: together
they use less than the 1,000 Mbit/s of the host's link."""
PATIENCE = 0.2
"""Seconds after which a caller leaves; its request would take WORK."""
WORK = 0.25
SMALL_CALLERS = 16
TIME = 60.0
"""Seconds for which callers send requests at most."""
ALLOWED = 3
"""Number of requests on kept channels that may be cut without breaking the rule."""


def serve(replica, link, head):
    """Serve a request soundly."""
    link.read_body(head)
    replica.ran.append(head.request_id)
    time.sleep(WORK)
    return replica.answer(link, head, b"done " + head.request_id.encode())


class Callers:
    """Callers of one entry host, until `stop` is set or the time is over."""

    def __init__(self, address, record, disrupt):
        self._address = address
        self._record = record
        self._disrupt = disrupt
        self.stop = threading.Event()
        self.sent = self.answered = self.left = self.large = 0
        self.cut = []
        self._lock = threading.Lock()

    def start(self):
        """Start all callers."""
        work = [self._send_large] * LARGE_CALLERS + [self._send_small] * SMALL_CALLERS
        for each in work:
            threading.Thread(target=self._repeat, args=(each,), daemon=True).start()

    def _repeat(self, work):
        while not self.stop.is_set():
            work()

    def _send_large(self):
        began = time.monotonic()
        head = (
            f"POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Bronzepoint-Request-Id: {new_id()}\r\n"
            f"X-Bronzepoint-Deadline-Ms: 4000\r\nContent-Length: {LARGE}\r\n\r\n"
        )
        try:
            with socket.create_connection(self._address, timeout=5.0) as sock:
                sock.sendall(head.encode() + bytes(LARGE))
                self.large += 1
                if self._disrupt:
                    time.sleep(PATIENCE)
                    self.left += 1
                else:
                    sock.recv(4096)
        except OSError:
            time.sleep(0.2)
        time.sleep(max(0.0, began + PAUSE - time.monotonic()))

    def _send_small(self):
        """Send requests on one channel, until it ends."""
        link = http.client.HTTPConnection(*self._address, timeout=6.0)
        try:
            link.connect()
            while not self.stop.is_set():
                self._ask(link)
        except (OSError, http.client.HTTPException):
            time.sleep(0.2)
        finally:
            link.close()

    def _ask(self, link):
        request_id = new_id()
        headers = {
            "Host": "shop.example",
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Deadline-Ms": "4000",
        }
        self.sent += 1
        try:
            link.request("GET", "/safe/x", headers=headers)
            answer = link.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException) as exc:
            with self._lock:
                self.cut.append(request_id)
            self._record.write(f"{request_id} cut: {type(exc).__name__}")
            raise
        self.answered += answer.status == 200


def run(site, record, disrupt):
    """Return whether the rule held."""
    replicas = [Replica(record, site.own_ip, "s", "a-a", serve, 16) for _ in range(3)]
    site.provider.entries = [replica.entry() for replica in replicas]
    for name in HOSTS:
        site.start(name, bootstrap=True)
    routes = [route("r1", "/safe/", "safe", "s"), route("r2", "/once/", "unsafe", "s")]
    if site.put(manifest(1, routes, ["s"]), SEEDS, 20.0) is None:
        raise CannotRun("the manifest was not accepted")
    if not until(lambda: site.is_ready("front"), 20.0):
        raise CannotRun("the entry host did not become ready")
    # In touch: the processes have run for contact_ms.
    time.sleep(7.0)
    site.watch()
    callers = Callers((site.ips["front"], site.front_port), record, disrupt)
    callers.start()
    end = time.monotonic() + TIME
    peak = 0
    while time.monotonic() < end and not site.own_ends["front"]:
        peak = max(peak, site.resident_mb("front"))
        time.sleep(0.25)
    time.sleep(1.0)
    callers.stop.set()
    ran = {request_id for replica in replicas for request_id in replica.ran}
    lost = [request_id for request_id in callers.cut if request_id in ran]
    record.write(
        f"{callers.large} large requests, {callers.left} of their callers left; "
        f"{callers.sent} small ones, {callers.answered} answered; {peak} MB seen"
    )
    record.write(
        f"ends of the entry host: {site.own_ends['front']}; {len(lost)} requests on "
        "kept channels passed on and cut without an answer"
    )
    if not callers.answered:
        raise CannotRun("no request was answered")
    return len(lost) <= ALLOWED


def main():
    """Run the case; return its exit status."""
    record = Record(HERE / "record.txt")
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    site = Deployment(record, HOSTS, SEEDS, MEMORY_MB)
    try:
        held = run(site, record, disrupt)
    except CannotRun as exc:
        record.write(f"could not run: {exc}")
        return 2
    finally:
        site.close()
    record.write("the rule held" if held else "the rule was broken")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
