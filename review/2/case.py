"""An entry of another writer stands in the provider's list."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.places import CORE, ENTRY, ZONES  # noqa: E402
from common.site import (  # noqa: E402
    Record,
    Site,
    ask,
    main,
    manifest,
    new_id,
    plain_service,
    route,
)

FOREIGN_ENTRY = """{"service":"warehouse-jobs","address":"%s.99:9","zone":"ist-a",
"version":"v1","slots":1,"state":"ready","cold_left_ms":1e20,"id":"job-17"}"""
"""Its service isn't in the manifest, and a field isn't the integer of the pages."""
APPLY_TIME = 4.0
"""``config_apply_ms`` of the settings, in seconds."""
SERVICES = [plain_service("order-book")]


def first_manifest(version: int) -> dict:
    """Return the manifest with the routes /old/ and /stay/."""
    routes = [
        route("old", "/old/", "safe", "order-book"),
        route("stay", "/stay/", "safe", "order-book"),
    ]
    return manifest(version, routes, SERVICES)


def second_manifest(version: int) -> dict:
    """Return the manifest with the routes /new/ and /stay/."""
    routes = [
        route("new", "/new/", "safe", "order-book"),
        route("stay", "/stay/", "safe", "order-book"),
    ]
    return manifest(version, routes, SERVICES)


async def case(record: Record, trouble: bool) -> bool:
    """Return whether a request was handled as only an older version allows."""
    site = Site(record, ZONES, CORE, ENTRY)
    for zone in ZONES:
        site.new_replica("order-book", zone)
    try:
        await site.start(first_manifest(1))
        await asyncio.sleep(3.0)
        await _report(site, record, "before")
        if trouble:
            site.extra_text = FOREIGN_ENTRY % site.net
            record.note(f"the list holds also {site.extra_text}")
        await asyncio.sleep(8.0)
        await _report(site, record, "with the entry in the list")
        body = json.dumps(second_manifest(2)).encode()
        while not await site.put(body, "core-mrs-c-1"):
            await asyncio.sleep(0.2)
        acked = time.monotonic()
        record.note("version 2 is acknowledged")
        await asyncio.sleep(APPLY_TIME + 2.0)
        broken = 0
        for _ in range(10):
            broken += await _check(site, record, acked)
            await asyncio.sleep(0.5)
        await _report(site, record, "at the end")
        for name in site.core:
            for line in site.log_lines(name, "task failed")[:1]:
                entry = json.loads(line)
                error = entry["exception"].strip().splitlines()[-1]
                record.note(f"log of {name}: {entry['task']}: {error}")
        record.note(f"{broken} requests were handled as only version 1 allows")
        return broken > 0
    finally:
        await site.stop()


async def _check(site: Site, record: Record, acked: float) -> int:
    """Send a request on each route to each entry host; count the wrong answers."""
    broken = 0
    for name in site.entry:
        for target in ("/new/1", "/old/1"):
            request_id = new_id()
            sent = time.monotonic()
            answer = await ask(site.front_address(name), target, request_id, "GET", b"")
            status = answer.status if answer is not None else 0
            ran = any(run[1] == request_id for r in site.replicas for run in r.runs)
            only_old = status == 404 if target == "/new/1" else ran
            broken += only_old
            record.note(
                f"{sent - acked:.1f} s after the acknowledgement, {name} {target}: "
                f"status {status}, ran {ran}{' WRONG' if only_old else ''}"
            )
    return broken


async def _report(site: Site, record: Record, when: str) -> None:
    for zone in ZONES:
        addresses = [await site.look_up(name, zone) for name in site.core]
        record.note(f"{when}, directory for {zone}: {addresses}")
    for name in site.entry:
        answer = await ask(site.front_address(name), "/stay/1", new_id(), "GET", b"")
        status = answer.status if answer is not None else 0
        ready = await site.is_ready(name)
        record.note(f"{when}, {name} /stay/1: status {status}, ready {ready}")


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
