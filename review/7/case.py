"""An answer without a length that is reset on the way is passed on as a whole one."""

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
REQUEST_BODY = bytes(4 << 20)
"""Body of a request; the manifest allows 4,194,304 bytes."""
PIECES = [
    b"first half of the answer\n" * 16_000,
    b"second half of the answer\n" * 16_000,
]
"""The two halves of an answer, of some 400,000 bytes each."""


def early_answer(disrupt):
    """Return how a replica serves that answers before it has read a long body."""

    def serve(replica, link, head):
        replica.note_run(head)
        link.send(replica.answer_head(head, Content_Type="text/plain"))
        time.sleep(0.1)
        link.send(PIECES[0])
        if disrupt:
            # What isn't on its way yet is lost with the channel.
            link.reset()
            return False
        time.sleep(0.1)
        link.send(PIECES[1])
        link.read_body(head)
        return False

    return serve


def run(site, record, disrupt):
    """Return whether the rule held."""
    replicas = [
        Replica(record, site.own_ip, "s", "a-a", early_answer(disrupt))
        for _ in range(2)
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
    whole = b"".join(PIECES)
    front = (site.ips["front"], site.front_port)
    wrong = served = 0
    for _ in range(REQUESTS):
        outcome = ask(front, "POST", "/r/x", REQUEST_BODY)
        record.write(f"answer to {outcome.request_id}: {outcome}")
        is_success = outcome.status == 200 and outcome.complete
        served += is_success
        wrong += is_success and outcome.body != whole
        time.sleep(0.1)
    record.write(f"{served} successes, {wrong} of them with a part of the answer")
    if not disrupt and not served:
        raise CannotRun("no request was served")
    return wrong == 0


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
