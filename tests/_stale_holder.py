"""A lease holder that is frozen between the check of its lease and its write.

``python -m tests._stale_holder ENTRY_FILE`` sends one order to the engines of the
entry, but stops itself (SIGSTOP) after the check that comes right before the write.
It prints the metric that shows how the order ended, and exits.
"""

import os
import signal
import sys
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.orders import Orders
from bronzepoint_schema.generated.catalogue import ModelEntry
from bronzepoint_schema.generated.settings import OrdersSection
from tests._orders_site import FakeAgreement, FakeView

LEASE = 5
"""Number of the stale holder's lease."""
OUTCOMES = ("orders.taken", "refusal.order_fenced", "retry.order_unanswered")


class FreezingAgreement(FakeAgreement):
    """Stops the process at the second check, which comes right before the write."""

    checks = 0

    def lease(self):
        self.checks += 1
        if self.checks == 2:
            os.kill(os.getpid(), signal.SIGSTOP)
        return self.number if self.checks <= 2 else None


async def main(entry):
    metrics = Metrics()
    cfg = OrdersSection(poll=0.05, takeover_wait=0.0, timeout=5.0)
    orders = Orders(FreezingAgreement(LEASE), FakeView(entry), metrics, cfg)
    await orders.start()
    outcome = []
    while not outcome:
        await curio.sleep(0.02)
        outcome = [name for name in OUTCOMES if metrics.counters().get(name)]
    print(outcome[0])
    await orders.close()


if __name__ == "__main__":
    content = Path(sys.argv[1]).read_bytes()
    curio.run(main, msgspec.json.decode(content, type=ModelEntry))
