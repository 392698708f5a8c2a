"""A request that is being served is cut when the next one on its channel is long."""

import os
import socket
import sys
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
CHANNELS = 8
ALLOWED = 3
"""Number of requests that may be cut so without breaking the rule."""
LONG_BODY = bytes(110_000)
"""Body of the longest requests of the users' sheets (`req_bytes`, `max`)."""
WORK = 0.2
"""Seconds for which a replica works on a request."""


def serve(replica, link, head):
    """Serve a request soundly."""
    link.read_body(head)
    replica.note_run(head)
    time.sleep(WORK)
    return replica.answer(link, head, b"done " + head.request_id.encode())


def request(method, path, request_id, body=b""):
    """Return the bytes of a request."""
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"X-Bronzepoint-Request-Id: {request_id}",
        "X-Bronzepoint-Deadline-Ms: 4000",
    ]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def read_answers(sock, count, data=b""):
    """Return the bodies of so many answers, fewer if the channel ends before."""
    bodies = []
    try:
        while len(bodies) < count:
            while b"\r\n\r\n" not in data:
                piece = sock.recv(65536)
                if not piece:
                    return bodies
                data += piece
            head, _, data = data.partition(b"\r\n\r\n")
            fields = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
            )
            size = int(fields[b"content-length"])
            while len(data) < size:
                piece = sock.recv(65536)
                if not piece:
                    return bodies
                data += piece
            bodies.append(data[:size])
            data = data[size:]
    except OSError:
        pass
    return bodies


def use_channel(site, record, replicas, disrupt):
    """Use one kept channel for three requests; return whether the second was cut."""
    front = (site.ips["front"], site.front_port)
    with socket.create_connection(front, timeout=6.0) as sock:
        sock.sendall(request("GET", "/safe/x", new_id()))
        if len(read_answers(sock, 1)) < 1:
            raise CannotRun("the first request of a channel was not answered")
        second, third = new_id(), new_id()
        sock.sendall(request("GET", "/safe/x", second))
        if disrupt:
            answers = []
            time.sleep(WORK / 4)
        else:
            answers = read_answers(sock, 1)
        sock.sendall(request("POST", "/safe/x", third, LONG_BODY))
        answers += read_answers(sock, 2 - len(answers))
    time.sleep(0.3)
    ran = any(second in replica.ran for replica in replicas)
    record.write(
        f"{second} and {third}: {len(answers)} answers; the first of them "
        f"{'was' if ran else 'was not'} passed on"
    )
    return ran and not answers


def run(site, record, disrupt):
    """Return whether the rule held."""
    replicas = [Replica(record, site.own_ip, "s", "a-a", serve) for _ in range(3)]
    site.provider.entries = [replica.entry() for replica in replicas]
    for name in HOSTS:
        site.start(name, bootstrap=True)
    document = manifest(1, [route("r", "/safe/", "safe", "s")], ["s"])
    if site.put(document, SEEDS, 20.0) is None:
        raise CannotRun("the manifest was not accepted")
    if not until(lambda: site.is_ready("front"), 20.0):
        raise CannotRun("the entry host did not become ready")
    # In touch: the processes have run for contact_ms.
    time.sleep(7.0)
    cut = sum(use_channel(site, record, replicas, disrupt) for _ in range(CHANNELS))
    record.write(f"{cut} of {CHANNELS} requests passed on, and cut without an answer")
    return cut <= ALLOWED


def main():
    """Run the case; return its exit status."""
    record = Record(HERE / "record.txt")
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    site = Deployment(record, HOSTS, SEEDS)
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
