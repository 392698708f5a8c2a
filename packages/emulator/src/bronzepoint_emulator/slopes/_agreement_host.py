"""The measured host: ``python -m`` this module with the path of a plan."""

import sys
import time
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.slopes._agreement_plan import (
    MEASURED,
    AgreementFigures,
    AgreementPlan,
)
from bronzepoint_node.agreement import Agreement
from bronzepoint_node.catalogue import Catalogue

_MAX_WAIT = 300.0
"""Seconds for the host to load the catalogue."""


class MeasuredHost:
    """The components of a host that replicate the catalogue.

    Args:
        plan: The measurement.
    """

    def __init__(self, plan: AgreementPlan) -> None:
        self._plan = plan
        self._metrics = Metrics()
        self._peers = Peers(MEASURED, plan.hosts[MEASURED], plan.key(), self._metrics)
        for host, address in plan.hosts.items():
            self._peers.set_address(host, address, fixed=True)
        settings = plan.settings(MEASURED)
        self._catalogue = Catalogue(settings, self._peers, self._metrics, list)
        self._agreement = Agreement(
            settings, self._peers, self._catalogue, self._metrics
        )

    async def measure(self) -> AgreementFigures:
        """Run until the catalogue is loaded, then measure the cost."""
        await self._peers.start()
        await self._catalogue.start()
        await self._agreement.start()
        async with curio.timeout_after(_MAX_WAIT):
            while not self._is_loaded():
                await curio.sleep(0.1)
        await curio.sleep(self._plan.warm_up)
        before, revision = self._metrics.counters(), self._catalogue.held
        started, processor = time.monotonic(), time.process_time()
        await curio.sleep(self._plan.seconds)
        seconds = time.monotonic() - started
        spent = time.process_time() - processor
        after = self._metrics.counters()

        def rate(name: str) -> float:
            return round((after.get(name, 0) - before.get(name, 0)) / seconds, 2)

        figures = AgreementFigures(
            messages=rate("peers.sent") + rate("peers.received"),
            sent_bytes=rate("peers.sent_bytes"),
            received_bytes=rate("peers.received_bytes"),
            processor_ms=round(1000 * spent / seconds, 3),
            memory_mb=_resident_mb(),
            changes=round((self._catalogue.held - revision) / seconds, 2),
            leads=self._agreement.lease() is not None,
        )
        await self._agreement.close()
        await self._catalogue.close()
        await self._peers.close()
        return figures

    def _is_loaded(self) -> bool:
        leads = self._agreement.lease() is not None
        loaded = len(self._catalogue.view.items()) >= self._plan.items
        return loaded and self._catalogue.view.ready and leads == self._plan.leads


def _resident_mb() -> float:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


if __name__ == "__main__":
    content = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=AgreementPlan)
    print(msgspec.json.encode(curio.run(MeasuredHost(content).measure)).decode())
