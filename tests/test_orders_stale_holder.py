"""A holder that is frozen between the check of its lease and the write of its order.

A host checks its lease and is frozen for longer than the lease. Another holder has the
engine load version 3. The first host resumes and writes its order for version 2, since
the check and the write can't be atomic. The engine must not stay at version 2.
"""

import sys
import tempfile
import unittest
from pathlib import Path

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_emulator.deployment import ManagedProcess, wait_until
from bronzepoint_node.orders import Orders
from bronzepoint_schema.generated.emulator import OrderCheck
from bronzepoint_schema.generated.settings import OrdersSection
from tests._orders_site import FakeAgreement, FakeView, engines

ROOT = Path(__file__).resolve().parent.parent
DEADLINE = 30.0
"""Maximum seconds to wait for a condition or for the end of a process."""
NEW_LEASE = 6
"""Number of the new holder's lease."""
IDLE_TIMEOUT = 1.0
"""Seconds after which the engines close an idle connection."""


class FrozenHolder:
    """Process of the stale holder."""

    def __init__(self, entry, folder):
        path = Path(folder) / "entry.json"
        path.write_bytes(msgspec.json.encode(entry))
        command = [sys.executable, "-m", "tests._stale_holder", str(path)]
        self.process = ManagedProcess("stale", command, Path(folder) / "stale.log")
        self.process.start()
        wait_until(self._stopped, "the stale holder is frozen")

    def _stopped(self):
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0] == "T"

    def resume(self):
        """Resume the process so that it writes its order; return the outcome."""
        self.process.thaw()
        self.process.wait(DEADLINE)
        return self.process.log_tail(1)


def run_takeover(site, then):
    """Order version 3 as the new holder, call `then`, and wait for version 3 again."""

    async def main():
        cfg = OrdersSection(
            poll=0.05, load_interval=0.01, takeover_wait=2 * IDLE_TIMEOUT, timeout=5.0
        )
        view = FakeView(site.entry("3"))
        orders = Orders(FakeAgreement(NEW_LEASE), view, Metrics(), cfg)
        await orders.start()
        async with curio.timeout_after(DEADLINE):
            while not await curio.run_in_thread(site.all_at, "3"):
                await curio.sleep(0.05)
            result = await curio.run_in_thread(then)
            while not await curio.run_in_thread(site.all_at, "3"):
                await curio.sleep(0.05)
        await orders.close()
        return result

    return curio.run(main)


def versions_taken(site):
    return [o["version"] for o in site.orders() if o["result"] == "accepted"]


class StaleHolderTest(unittest.TestCase):
    @params(
        (OrderCheck.fenced, "refusal.order_fenced", 600.0),
        (OrderCheck.unfenced, "retry.order_unanswered", IDLE_TIMEOUT),
    )
    def test_stale_order_is_not_accepted(self, check, outcome, idle_timeout):
        """A fenced engine refuses the order; others have closed the connection."""
        fields = {"check": check, "idle_timeout": idle_timeout, "slots": 1}
        with tempfile.TemporaryDirectory() as folder, engines(2, **fields) as site:
            stale = FrozenHolder(site.entry("2"), folder)
            self.addCleanup(stale.process.kill)
            self.assertEqual(run_takeover(site, stale.resume), outcome)
            self.assertNotIn("2", versions_taken(site))

    def test_accepted_stale_order_is_corrected(self):
        """An engine neither checks fencing numbers nor closes idle connections.

        It accepts the stale order. The new holder must detect the reported version
        and order the wanted one again.
        """
        fields = {"check": OrderCheck.unfenced, "idle_timeout": 600.0, "slots": 1}
        with tempfile.TemporaryDirectory() as folder, engines(2, **fields) as site:
            stale = FrozenHolder(site.entry("2"), folder)
            self.addCleanup(stale.process.kill)
            self.assertEqual(run_takeover(site, stale.resume), "orders.taken")
            self.assertEqual(versions_taken(site).count("2"), 1)
            self.assertEqual(versions_taken(site)[-1], "3")
