"""Orders to real engine processes: who gives them, how fast, and again after faults."""

import unittest
from contextlib import asynccontextmanager

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.orders import Orders
from bronzepoint_schema.generated.emulator import OrderCheck, OrderResult
from bronzepoint_schema.generated.settings import OrdersSection
from tests._orders_site import FakeAgreement, FakeView, engines

DEADLINE = 30.0
FAST = OrdersSection(
    poll=0.05,
    polls_per_second=1000.0,
    load_interval=0.01,
    takeover_wait=0.0,
    timeout=1.0,
)


def with_section(**fields):
    section = {name: getattr(FAST, name) for name in FAST.__struct_fields__}
    return OrdersSection(**(section | fields))


@asynccontextmanager
async def ordering(agreement, view, cfg=FAST):
    metrics = Metrics()
    orders = Orders(agreement, view, metrics, cfg)
    await orders.start()
    try:
        yield orders, metrics
    finally:
        await orders.close()


async def reached(condition, *args):
    """Poll until a condition holds, in a thread since it asks processes."""
    async with curio.timeout_after(DEADLINE):
        while not await curio.run_in_thread(condition, *args):
            await curio.sleep(0.02)


class HolderTest(unittest.TestCase):
    def test_only_the_lease_holder_orders(self):
        async def main(site):
            agreement = FakeAgreement()
            view = FakeView(site.entry("2"))
            async with ordering(agreement, view) as (orders, _):
                passes = []
                await reached(lambda: passes.append(1) or len(passes) > 20)
                self.assertEqual(site.orders(), [])
                self.assertFalse(orders.status().holder)
                agreement.number = 7
                await reached(site.all_at, "2")
                self.assertTrue(orders.status().holder)
                agreement.number = None
                await reached(lambda: not orders.status().holder)

        with engines() as site:
            curio.run(main, site)

    def test_lease_is_checked_right_before_the_write(self):
        """Symptom: a host that has lost the lease still gives an order.

        Sequence: the lease ends while the host looks at engines and connects. Cause:
        the lease was checked only at the beginning of the pass.
        """

        async def main(site):
            class EndingAgreement(FakeAgreement):
                looks = 0

                def lease(self):
                    self.looks += 1
                    return self.number if self.looks == 1 else None

            view = FakeView(site.entry("2"))
            async with ordering(EndingAgreement(7), view) as (_, metrics):
                await reached(lambda: metrics.counters().get("orders.lease_lost", 0))
                self.assertEqual(site.orders(), [])

        with engines() as site:
            curio.run(main, site)

    def test_catalogue_behind_the_log_gives_no_orders(self):
        """Symptom: an engine goes back to a version that was replaced.

        Sequence: a host is elected while its own view of the catalogue is behind the
        log, and orders what that view wants. Cause: the lease alone says nothing
        about the view.
        """

        async def main(site):
            agreement = FakeAgreement(number=7, age=None)
            view = FakeView(site.entry("0"))
            async with ordering(agreement, view) as (orders, _):
                await reached(lambda: orders._held is not None)
                passes = []
                await reached(lambda: passes.append(1) or len(passes) > 20)
                self.assertEqual(site.orders(), [])
                view.entries = (site.entry("2"),)
                agreement.age = 0.0
                await reached(site.all_at, "2")
                self.assertEqual({o["version"] for o in site.orders()}, {"2"})

        with engines() as site:
            curio.run(main, site)

    def test_unfenced_engines_wait_out_the_former_holder(self):
        async def main(site):
            cfg = with_section(takeover_wait=1e6)
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view, cfg) as (orders, _):
                await reached(lambda: orders.status().unfenced_wait > 0)
                passes = []
                await reached(lambda: passes.append(1) or len(passes) > 20)
                self.assertEqual(site.orders(), [])

        with engines(check=OrderCheck.unfenced) as site:
            curio.run(main, site)


class FaultTest(unittest.TestCase):
    def test_weight_store_is_not_overrun(self):
        """Symptom: loads fail for a long time, the store refuses nearly all.

        Sequence: a version changes, and every engine is told to load; each refused
        one is told again at the next look. Cause: no common pace. Without the pace
        this gave dozens of refusals for six loads.
        """

        async def main(site):
            cfg = with_section(keep_share=0.0)
            async with ordering(FakeAgreement(7), FakeView(site.entry("2")), cfg):
                await reached(site.all_at, "2")
                self.assertLessEqual(site.store_counts()["limited"], 8)

        with engines(count=6, rate=2.0) as site:
            curio.run(main, site)

    def test_share_of_engines_stays_up(self):
        """Symptom: no engine answers while a new version is loaded."""

        async def main(site):
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view):
                loading = 0
                async with curio.timeout_after(DEADLINE):
                    while not site.all_at("2"):
                        states = await curio.run_in_thread(site.states)
                        now = sum(state["loading"] for state in states)
                        loading = max(loading, now)
                        await curio.sleep(0.01)
                self.assertLessEqual(loading, 2)

        with engines(count=4, load_time=0.5) as site:
            curio.run(main, site)

    @params(OrderCheck.fenced, OrderCheck.unfenced)
    def test_resent_order_is_carried_out_once(self, check):
        """Symptom: an engine loads the same version twice, and is down twice.

        Sequence: the engine takes an order but its answer doesn't come in time; the
        order is given again. Cause: a resend that looks like a new order.
        """

        async def main(site):
            class FreezingAgreement(FakeAgreement):
                looks = 0

                def lease(self):
                    self.looks += 1
                    if self.looks == 2:
                        # The second look is the check right before the order.
                        site.process.freeze()
                    return self.number

            view = FakeView(site.entry("2"))
            cfg = with_section(timeout=0.3, keep_share=0.0)
            async with ordering(FreezingAgreement(7), view, cfg) as (_, metrics):
                await reached(
                    lambda: metrics.counters().get("retry.order_unanswered", 0)
                )
                site.process.thaw()
                await reached(site.all_at, "2")
                taken = [o for o in site.orders() if o["result"] == "accepted"]
                self.assertEqual(len(taken), 1, site.orders())

        with engines(count=1, check=check, slots=1) as site:
            curio.run(main, site)

    @params(OrderCheck.fenced, OrderCheck.unfenced)
    def test_slow_fetch_is_not_begun_anew(self, check):
        """Symptom: an engine never gets its version although the store serves it.

        Sequence: the fetch takes longer than the host waits for the answer; each
        resend carries a newer number, which makes the engine drop the fetch before
        it. Cause: a resend that looks like a new order.
        """

        async def main(site):
            cfg = with_section(timeout=0.2, keep_share=0.0)
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view, cfg) as (_, metrics):
                await reached(site.all_at, "2")
                self.assertGreater(metrics.counters()["retry.order_unanswered"], 0)
                self.assertEqual(len({o["order"] for o in site.orders()}), 1)

        with engines(count=1, check=check, fetch_time=1.0) as site:
            curio.run(main, site)

    def test_engine_that_knows_a_newer_number_is_reported(self):
        async def main(site):
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(9), view):
                await reached(site.all_at, "2")
            view = FakeView(site.entry("3"))
            async with ordering(FakeAgreement(8), view) as (orders, metrics):
                message = "has seen fencing number"
                await reached(
                    lambda: any(message in e.detail for e in orders.status().engines)
                )
                self.assertGreater(metrics.counters()["refusal.order_fenced"], 0)
                self.assertTrue(site.all_at("2"))
                results = {o["result"] for o in site.orders() if o["version"] == "3"}
                self.assertEqual(results, {OrderResult.fenced})

        with engines() as site:
            curio.run(main, site)

    def test_restarted_engine_is_brought_back(self):
        async def main(site):
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view):
                await reached(site.all_at, "2")
                site.process.kill()
                site.process.start()
                await reached(lambda: not_raising(site.all_at, "2"))

        with engines() as site:
            curio.run(main, site)


def not_raising(condition, *args):
    """Take a refused connection for a condition that doesn't hold yet."""
    try:
        return condition(*args)
    except OSError:
        return False
