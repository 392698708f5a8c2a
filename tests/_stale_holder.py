"""A lease holder that is frozen between its check and its write.

``python -m tests._stale_holder ENTRY_FILE``: gives one order to the engines of the
entry, but stops itself (SIGSTOP) after the check that is made right before the write.
It writes how the order ended to standard output and ends.
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
ENDS = ("orders.taken", "refusal.order_fenced", "retry.order_unanswered")


class FreezingAgreement(FakeAgreement):
    """Stops the process after the second look, which is the one before the write."""

    looks = 0

    def lease(self):
        self.looks += 1
        if self.looks == 2:
            os.kill(os.getpid(), signal.SIGSTOP)
        return self.number if self.looks <= 2 else None


async def main(entry):
    metrics = Metrics()
    cfg = OrdersSection(poll=0.05, takeover_wait=0.0, timeout=5.0)
    orders = Orders(FreezingAgreement(LEASE), FakeView(entry), metrics, cfg)
    await orders.start()
    ended = []
    while not ended:
        await curio.sleep(0.02)
        ended = [name for name in ENDS if metrics.counters().get(name)]
    print(ended[0])
    await orders.close()


if __name__ == "__main__":
    content = Path(sys.argv[1]).read_bytes()
    curio.run(main, msgspec.json.decode(content, type=ModelEntry))
