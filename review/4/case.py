"""An order that a frozen core host kept is carried out after a newer one."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.http import call  # noqa: E402
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

ZONE = "ist-a"
FROZEN = "core-fra-b-1"
FREEZE_TIME = 3.5
"""Largest freeze of a machine in the site file karadeniz.toml, in seconds."""
PATIENCE = 1.0
"""Seconds without an answer after which the operator goes to another node."""
EVACUATE_TIME = 5.0
"""``evacuate_ms`` of the settings, in seconds."""
CONTACT_TIME = 6.0
"""``contact_ms`` of the settings, in seconds."""


class Operator:
    """Sends an order to one core host after the other until one acknowledges it."""

    def __init__(self, site: Site, record: Record) -> None:
        self._site = site
        self._record = record

    async def order(self, method: str, names: list[str]) -> float:
        """Return when the order was acknowledged."""
        while True:
            for name in names:
                address = self._site.control_address(name)
                target = f"/-/evacuations/{ZONE}"
                self._record.note(f"operator sends {method} {target} to {name}")
                answer = await call(address, method, target, timeout=PATIENCE)
                status = answer.status if answer is not None else "no answer"
                self._record.note(f"operator gets from {name}: {status}")
                if answer is not None and answer.status == 200:
                    return time.monotonic()
                await asyncio.sleep(0.1)


async def _send_requests(site: Site, until: float, record: Record) -> None:
    """Send requests of all zones in turn until a time."""
    served = 0
    while time.monotonic() < until:
        for name in site.entry:
            answer = await ask(
                site.front_address(name), "/stock/1", new_id(), "GET", b"", 1.0
            )
            served += answer is not None and answer.status == 200
        await asyncio.sleep(0.05)
    record.note(f"{served} requests were served in the meantime")


async def case(record: Record, trouble: bool) -> bool:
    """Return whether requests reach the evacuated zone."""
    routes = [route("stock", "/stock/", "safe", "order-book")]
    site = Site(record, ZONES, CORE, ENTRY)
    for zone in ZONES:
        site.new_replica("order-book", zone)
    here = next(r for r in site.replicas if r.zone == ZONE)
    operator = Operator(site, record)
    others = [name for name in CORE if name != FROZEN]
    try:
        await site.start(manifest(1, routes, [plain_service("order-book")]))
        await asyncio.sleep(2.0)
        await operator.order("POST", [FROZEN])
        await _send_requests(site, time.monotonic() + 8.0, record)
        if trouble:
            site.signal(FROZEN, signal.SIGSTOP)
            record.note(f"{FROZEN} freezes")
        frozen_at = time.monotonic()
        await operator.order("DELETE", [FROZEN, *others])
        acked = await operator.order("POST", others)
        await asyncio.sleep(max(0.0, frozen_at + FREEZE_TIME - time.monotonic()))
        if trouble:
            site.signal(FROZEN, signal.SIGCONT)
            record.note(f"{FROZEN} wakes after {time.monotonic() - frozen_at:.2f} s")
        stable_at = time.monotonic() + CONTACT_TIME + 1.0
        until = max(stable_at, acked + EVACUATE_TIME) + 4.0
        await _send_requests(site, until, record)
        late = [
            run for run in here.runs if run[0] > max(stable_at, acked + EVACUATE_TIME)
        ]
        record.note(
            f"{len(late)} requests reached {here.name} in {ZONE} between "
            f"{max(stable_at, acked + EVACUATE_TIME) - acked:.1f} and "
            f"{until - acked:.1f} s after the evacuation was acknowledged"
        )
        for name in site.core:
            for line in site.log_lines(name, "data center"):
                record.note(f"log of {name}: {line[:300]}")
        return bool(late)
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(main(case, FOLDER))
