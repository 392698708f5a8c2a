"""A replica's own 503 after a run reaches the requester as a promise of no run."""

import os
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
from site2.requester import ask  # noqa: E402

HOSTS = {
    "a1": ("core", "a"),
    "b1": ("core", "b"),
    "c1": ("core", "c"),
    "front": ("entry", "a"),
}
SEEDS = ["a1", "b1", "c1"]
REQUESTS = 20
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""
FAILING = 0.4
"""Share of the requests that a failing replica fails (`srv_grey`, `x`)."""


def book(disrupt):
    """Return how a replica serves that runs each request and fails some after it."""
    counts = {"served": 0}

    def serve(replica, link, head):
        body = link.read_body(head)
        replica.note_run(head)
        counts["served"] += 1
        if disrupt and counts["served"] * FAILING % 1 < FAILING:
            # Its own failure: it doesn't say X-Bronzepoint-Not-Executed.
            text = b"order written, confirmation failed\n"
            return replica.answer(link, head, text, "503 Service Unavailable")
        return replica.answer(link, head, b"booked " + body)

    return serve


def run(site, record, disrupt):
    """Return whether the rule held."""
    replicas = [
        Replica(record, site.own_ip, "s", "a-a", book(disrupt)) for _ in range(3)
    ]
    site.provider.entries = [replica.entry() for replica in replicas]
    for name in HOSTS:
        site.start(name, bootstrap=True)
    document = manifest(1, [route("r", "/r/", "unsafe", "s")], ["s"])
    if site.put(document, SEEDS, 20.0) is None:
        raise CannotRun("the manifest was not accepted")
    if not until(lambda: site.is_ready("front"), 20.0):
        raise CannotRun("the entry host did not become ready")
    time.sleep(2.0)
    front = (site.ips["front"], site.front_port)
    served, broken = 0, []
    for number in range(REQUESTS):
        outcome = ask(front, "POST", "/r/x", b"order %d" % number)
        record.write(f"answer to {outcome.request_id}: {outcome}")
        served += outcome.status == 200
        time.sleep(0.3)
        ran = [r.id for r in replicas if outcome.request_id in r.ran]
        if outcome.status in PROMISES and ran:
            record.write(f"{outcome.request_id} has run at {ran}")
            broken.append(outcome.request_id)
    record.write(f"{served} served; {len(broken)} refused that have run")
    if not served:
        raise CannotRun("no request was served")
    return not broken


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
