"""Orders to real engine processes: lease, rate limit and retries after faults."""

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
"""Maximum seconds to wait for a condition."""
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


async def wait_for(condition, *args):
    """Poll until a condition holds, in a thread because it queries processes."""
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
                await wait_for(lambda: passes.append(1) or len(passes) > 20)
                self.assertEqual(site.orders(), [])
                self.assertFalse(orders.status().holder)
                agreement.number = 7
                await wait_for(site.all_at, "2")
                self.assertTrue(orders.status().holder)
                agreement.number = None
                await wait_for(lambda: not orders.status().holder)

        with engines() as site:
            curio.run(main, site)

    def test_lease_is_checked_right_before_the_write(self):
        """A host must not send an order after its lease has ended.

        The lease may end while the host polls engines and connects, so a check at the
        beginning of the pass is not enough.
        """

        async def main(site):
            class EndingAgreement(FakeAgreement):
                checks = 0

                def lease(self):
                    self.checks += 1
                    return self.number if self.checks == 1 else None

            view = FakeView(site.entry("2"))
            async with ordering(EndingAgreement(7), view) as (_, metrics):
                await wait_for(lambda: metrics.counters().get("orders.lease_lost", 0))
                self.assertEqual(site.orders(), [])

        with engines() as site:
            curio.run(main, site)

    def test_catalogue_behind_the_log_gives_no_orders(self):
        """A new leader with an outdated catalogue must not send orders.

        The lease does not show whether the catalogue is behind the log. The leader
        would order a version that was already replaced.
        """

        async def main(site):
            agreement = FakeAgreement(number=7, age=None)
            view = FakeView(site.entry("0"))
            async with ordering(agreement, view) as (orders, _):
                await wait_for(lambda: orders._held is not None)
                passes = []
                await wait_for(lambda: passes.append(1) or len(passes) > 20)
                self.assertEqual(site.orders(), [])
                view.entries = (site.entry("2"),)
                agreement.age = 0.0
                await wait_for(site.all_at, "2")
                self.assertEqual({o["version"] for o in site.orders()}, {"2"})

        with engines() as site:
            curio.run(main, site)

    def test_unfenced_engines_get_no_order_before_the_takeover_wait_ends(self):
        async def main(site):
            cfg = with_section(takeover_wait=1e6)
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view, cfg) as (orders, _):
                await wait_for(lambda: orders.status().unfenced_wait > 0)
                passes = []
                await wait_for(lambda: passes.append(1) or len(passes) > 20)
                self.assertEqual(site.orders(), [])

        with engines(check=OrderCheck.unfenced) as site:
            curio.run(main, site)


class FaultTest(unittest.TestCase):
    def test_weight_store_refuses_few_loads(self):
        """The common rate limit must keep refusals of the weight store low.

        Without it, each refused engine gets a new order at the next poll, which led
        to dozens of refusals for six loads.
        """

        async def main(site):
            cfg = with_section(keep_share=0.0)
            async with ordering(FakeAgreement(7), FakeView(site.entry("2")), cfg):
                await wait_for(site.all_at, "2")
                self.assertLessEqual(site.store_counts()["limited"], 8)

        with engines(count=6, rate=2.0) as site:
            curio.run(main, site)

    def test_share_of_engines_stays_up(self):
        """Some engines must keep serving while others load a new version."""

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
        """An order that is resent must not make the engine load twice.

        The engine accepts an order, but its answer is late and the order is resent.
        If the resend looked like a new order, the engine would load again.
        """

        async def main(site):
            class FreezingAgreement(FakeAgreement):
                checks = 0

                def lease(self):
                    self.checks += 1
                    if self.checks == 2:
                        # The second check comes right before the order is sent.
                        site.process.freeze()
                    return self.number

            view = FakeView(site.entry("2"))
            cfg = with_section(timeout=0.3, keep_share=0.0)
            async with ordering(FreezingAgreement(7), view, cfg) as (_, metrics):
                await wait_for(
                    lambda: metrics.counters().get("retry.order_unanswered", 0)
                )
                site.process.thaw()
                await wait_for(site.all_at, "2")
                accepted = [o for o in site.orders() if o["result"] == "accepted"]
                self.assertEqual(len(accepted), 1, site.orders())

        with engines(count=1, check=check, slots=1) as site:
            curio.run(main, site)

    @params(OrderCheck.fenced, OrderCheck.unfenced)
    def test_slow_fetch_is_not_restarted(self, check):
        """A resent order must not restart a fetch that is slower than the timeout.

        If each resend had a newer number, the engine would cancel its previous fetch
        each time and never load the version.
        """

        async def main(site):
            cfg = with_section(timeout=0.2, keep_share=0.0)
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view, cfg) as (_, metrics):
                await wait_for(site.all_at, "2")
                self.assertGreater(metrics.counters()["retry.order_unanswered"], 0)
                self.assertEqual(len({o["order"] for o in site.orders()}), 1)

        with engines(count=1, check=check, fetch_time=1.0) as site:
            curio.run(main, site)

    def test_engine_with_a_newer_fencing_number_is_reported(self):
        async def main(site):
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(9), view):
                await wait_for(site.all_at, "2")
            view = FakeView(site.entry("3"))
            async with ordering(FakeAgreement(8), view) as (orders, metrics):
                message = "has seen fencing number"
                await wait_for(
                    lambda: any(message in e.detail for e in orders.status().engines)
                )
                self.assertGreater(metrics.counters()["refusal.order_fenced"], 0)
                self.assertTrue(site.all_at("2"))
                results = {o["result"] for o in site.orders() if o["version"] == "3"}
                self.assertEqual(results, {OrderResult.fenced})

        with engines() as site:
            curio.run(main, site)

    def test_restarted_engine_gets_its_version_again(self):
        async def main(site):
            view = FakeView(site.entry("2"))
            async with ordering(FakeAgreement(7), view):
                await wait_for(site.all_at, "2")
                site.process.kill()
                site.process.start()
                await wait_for(lambda: holds_without_error(site.all_at, "2"))

        with engines() as site:
            curio.run(main, site)


def holds_without_error(condition, *args):
    """Treat a refused connection as a condition that doesn't hold yet."""
    try:
        return condition(*args)
    except OSError:
        return False
