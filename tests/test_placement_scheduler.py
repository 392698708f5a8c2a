"""Selection of targets by one host for the requests of all hosts of a region."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area
from bronzepoint_node.placement import LocalPlacement, NoLocalTarget, Prompt, PromptPart
from bronzepoint_node.placement._engine_load import (
    RESERVATION_EXPIRY,
    EngineLoad,
    OwnRun,
)
from bronzepoint_node.placement._load_collector import NOTICE_INTERVAL
from bronzepoint_node.placement._load_exchange import REPORT_INTERVAL
from bronzepoint_node.placement._request_queue import POLL_INTERVAL
from bronzepoint_node.placement._scheduler_client import (
    ANSWER_TIMEOUT,
    MAX_UNANSWERED,
)
from bronzepoint_node.placement._tracked_target import UNRESPONSIVE_AFTER
from bronzepoint_schema.generated.scheduling import TargetGrant
from bronzepoint_schema.generated.target_loads import TargetLoad
from tests._scheduling_region import SLOTS, Region

HOSTS = 64
LINK = 625_000
"""Bandwidth of an entry host's link in bytes per second: 5 Mbit/s."""
TRAFFIC_SHARE = 0.1
"""Fraction of its link that a host's own traffic may use."""


async def burst(region, count, choose):
    """Let the hosts send round robin, faster than they receive each other's loads."""
    hosts = list(region.hosts.values())
    async with curio.TaskGroup() as group:
        for number in range(count):
            host = hosts[number % len(hosts)]
            await group.spawn(choose, host, str(number))
            if number % 8 == 7:
                await curio.sleep(0.001)


async def choose_locally(host, run_id):
    """Send a request as a host that relies on the last reports it received."""
    request = host.make_request()
    found = host.placer.local_selector.choose(request, monotonic())
    if isinstance(found, LocalPlacement):
        found.target.begin(run_id, request.prompt, 0, monotonic())


class TestSchedulerSelection(unittest.TestCase):
    def test_no_target_is_overrun(self):
        """Guards against engines that refuse a third of their requests.

        64 hosts use 6 engines, five of which are nearly full, and 120 requests arrive
        within 20 ms. If each host chooses by its last reports, all choose the same
        engine while others are idle.
        """

        async def main(choose):
            async with Region(HOSTS, 6) as region:
                for target in region.targets[:5]:
                    tracked = region.scheduler.table.get(target)
                    for number in range(SLOTS - 12):
                        run = OwnRun(100, 0, 0, monotonic(), started=True)
                        tracked.load.begin(f"{number}", run)
                await curio.sleep(NOTICE_INTERVAL + 0.1)
                before = sum(region.in_flight().values())
                await burst(region, 5 * 12 + SLOTS, choose)
                counts = region.in_flight()
                return max(counts.values()), sum(counts.values()) - before

        max_in_flight, served = curio.run(main, lambda host, run_id: host.send(run_id))
        self.assertLessEqual(max_in_flight, SLOTS)
        self.assertEqual(served, 5 * 12 + SLOTS)
        local_max, _ = curio.run(main, choose_locally)
        self.assertGreater(local_max, SLOTS, "the load does not cause the failure")

    def test_choice_includes_grants_and_ended_requests(self):
        """Checks that a grant counts at once, and only once.

        The report of its host does not add it again. An ended request frees capacity
        within two notices.
        """

        async def main():
            async with Region(HOSTS, 1) as region:
                member = region.members[0]
                seen = region.scheduler.table.get("t0").load
                counts = []
                for number in range(5):
                    await member.send(str(number))
                counts.append(seen.in_flight(monotonic()))
                await curio.sleep(3 * REPORT_INTERVAL)
                counts.append(seen.in_flight(monotonic()))
                for number in range(3):
                    member.table.get("t0").load.end(str(number))
                await curio.sleep(2 * REPORT_INTERVAL)
                counts.append(seen.in_flight(monotonic()))
                return counts

        self.assertEqual(curio.run(main), [5, 5, 2])

    def test_part_that_one_host_has_sent_is_known_to_all(self):
        """Guards against a shared part that several engines of a region read.

        Two hosts get a prompt with the part within a few milliseconds, while the report
        of the engine that reads it would arrive 0.4 s later.
        """

        async def main():
            async with Region(HOSTS, 6) as region:
                targets = set()
                for host in list(region.hosts.values())[:20]:
                    request = host.make_request()
                    parts = (PromptPart("guide", 5000), *request.prompt.parts)
                    request.prompt = Prompt(parts, 5100, 50)
                    found = await host.client.find(request, 0.0)
                    targets.add(found.target.info.incarnation)
                return targets

        self.assertEqual(len(curio.run(main)), 1)


class TestSeenByOneHost(unittest.TestCase):
    # An unreachable target is tried periodically.
    @params(("record_replacement", 0), ("record_failed_connection", 1))
    def test_failure_seen_by_one_host_is_reported_to_the_others(self, seen, trials):
        """Guards against refusals after a crash although there is free capacity.

        An engine crashes and restarts at its address under another name, while the list
        still names the former one, which looks idle. If each of 64 hosts and the
        scheduler learn this separately, a third of all tries is refused.
        """

        async def main():
            async with Region(HOSTS, 2) as region:
                for name in region.names[:3]:
                    tracked = region.hosts[name].table.get("t0")
                    for _ in range(2):
                        if seen == "record_replacement":
                            tracked.record_replacement()
                        else:
                            tracked.record_failed_connection(monotonic())
                await curio.sleep(UNRESPONSIVE_AFTER + 3 * REPORT_INTERVAL)
                found = [await h.send("x") for h in region.members[5:25]]
                names = [each.target.info.incarnation for each in found]
                return names.count("t0")

        self.assertLessEqual(curio.run(main), trials)


class TestCoreScheduler(unittest.TestCase):
    def test_hosts_of_the_core_choose_before_entry_hosts(self):
        """Guards against scheduler answers that take 0.1 s.

        A third of the requests is then placed without an answer. This happens when the
        scheduler is an entry host, whose narrow link is filled by callers' prompts.
        """

        async def main():
            async with Region(9, 2, core=("10.1.9.1", "10.1.9.2")) as region:
                hosts = list(region.hosts.values())
                first = {host.exchange.scheduler for host in hosts}
                for number, host in enumerate(hosts):
                    await host.send(str(number))
                (name,) = first
                core = region.core[name]
                await curio.sleep(3 * REPORT_INTERVAL)
                known = sum(t.load.in_flight(monotonic()) for t in core.table.all())
                await curio.sleep(0.3)
                reported = [load.in_progress for load in core.registry.loads()]
                region.partitioned.add(name)
                for host in hosts:
                    for number in range(MAX_UNANSWERED):
                        await host.send(f"{number}.")
                second = {host.exchange.scheduler for host in hosts}
                return first, known, reported, second, set(region.core)

        first, known, reported, second, core = curio.run(main)
        self.assertEqual((known, reported), (9, [9]))
        self.assertEqual(second, core - first)

    def test_host_without_target_list_refuses_nothing(self):
        """Guards against refused requests while all targets are idle.

        This happens when a restarted scheduler is queried before it has read the list
        of targets, and answers that there is no target.
        """

        async def main():
            async with Region(9, 2, core=("10.1.9.1",)) as region:
                region.core["10.1.9.1"].table._targets.clear()
                region.core["10.1.9.1"].scheduler._listed = lambda: None
                host = next(iter(region.hosts.values()))
                return await host.send("x")

        self.assertIsInstance(curio.run(main), LocalPlacement)


class TestOutdatedScheduler(unittest.TestCase):
    def test_closed_data_center_gets_nothing(self):
        """Guards against requests to a closed data center. The entry hosts know of the
        closing, but the scheduler is cut off from the other core hosts and doesn't."""

        async def main():
            data_centers = ("z", "closed")
            async with Region(8, 6, core=("c",), data_centers=data_centers) as region:
                hosts = list(region.hosts.values())
                for host in hosts:
                    self.assertEqual(host.exchange.scheduler, "c")
                    host.close_data_centers("closed")
                own_choices = []
                for first in (0, 24):
                    await burst(
                        region, 24, lambda host, run, n=first: host.send(f"{n}-{run}")
                    )
                    counters = [host.metrics.counters() for host in hosts]
                    own_choices.append(
                        [c.get("schedule.own_choice", 0) for c in counters]
                    )
                return region.in_flight(), region, own_choices

        in_flight, region, own_choices = curio.run(main)
        used = {region.data_center(target) for target, n in in_flight.items() if n}
        self.assertEqual((used, sum(in_flight.values())), ({"z"}, 48))
        # Once a host has refused such a grant, its queries exclude these targets.
        noticed = [pair for pair in zip(*own_choices, strict=True) if pair[0]]
        self.assertTrue(noticed)
        self.assertEqual([after for _, after in noticed], [n for n, _ in noticed])


class TestReservations(unittest.TestCase):
    @params((0.0, True, 0), (0.0, False, 1), (RESERVATION_EXPIRY + 0.1, False, 0))
    def test_granted_request_counts_until_its_host_tells_of_it(
        self, seconds, settled, expected
    ):
        """Checks that the grant of a dead host occupies capacity for at most 1 s."""
        load = EngineLoad()
        load.reserve("h", 7, OwnRun(100, 50, 0, 10.0))
        if settled:
            load.settle("h", [7, 8])
        now = 10.0 + seconds
        self.assertEqual(load.in_flight(now), expected)
        self.assertEqual(load.memory_tokens(now), 100 * expected)
        self.assertEqual(load.tokens_before(0, 1.0, now), 50 * expected)

    def test_collector_change_drops_reservations(self):
        load = EngineLoad()
        load.reserve("h", 7, OwnRun(100, 50, 0, 10.0))
        load.forget_others()
        self.assertEqual(load.in_flight(10.0), 0)

    def test_sum_of_others_follows_each_report_and_its_age(self):
        load = EngineLoad()
        load.apply_notice("a", TargetLoad("t", 3, 30, [0, 0, 0, 0], 0, 0, 0), 10.0)
        load.apply_notice("b", TargetLoad("t", 4, 40, [0, 9, 0, 0], 9, 1, 0), 11.0)
        found = [load.in_flight(11.0), load.memory_tokens(11.0)]
        self.assertEqual(found, [7, 70])
        load.apply_notice("b", TargetLoad("t", 1, 10, [0, 0, 0, 0], 0, 0, 0), 12.0)
        self.assertEqual(load.in_flight(12.0), 4)
        self.assertEqual(load.in_flight(13.5), 1)
        self.assertEqual(load.in_flight(15.5), 0)


class TestUnresponsiveScheduler(unittest.TestCase):
    def test_nothing_waits_on_a_dead_host(self):
        """Guards against a region whose requests all stall when one host dies.

        This happens when the scheduler loses power while its connections stay open, and
        the other hosts wait for its answers.
        """

        async def main():
            async with Region(9, 2) as region:
                dead = region.scheduler
                region.partitioned.add(dead.name)
                host = next(h for h in region.hosts.values() if h is not dead)
                took, found = [], []
                for number in range(MAX_UNANSWERED + 2):
                    began = monotonic()
                    found.append(await host.send(str(number)))
                    took.append(monotonic() - began)
                return took, found, host.exchange.scheduler, dead.name

        took, found, scheduler, dead = curio.run(main)
        self.assertTrue(all(isinstance(each, LocalPlacement) for each in found))
        self.assertNotEqual(scheduler, dead)
        self.assertGreaterEqual(min(took[:MAX_UNANSWERED]), ANSWER_TIMEOUT)
        self.assertLess(sum(took[MAX_UNANSWERED:]), ANSWER_TIMEOUT)

    def test_reachable_scheduler_resumes(self):
        async def main():
            async with Region(9, 2) as region:
                former = region.scheduler
                region.partitioned.add(former.name)
                hosts = [h for h in region.hosts.values() if h is not former]
                for host in hosts:
                    for number in range(MAX_UNANSWERED):
                        await host.send(f"{number}")
                during = {host.exchange.scheduler for host in hosts}
                region.partitioned.clear()
                await curio.sleep(2 * NOTICE_INTERVAL + 0.5)
                return during, {h.exchange.scheduler for h in hosts}, former.name

        during, after, former = curio.run(main)
        self.assertNotIn(former, during)
        self.assertEqual(after, {former})

    def test_late_grant_is_released(self):
        async def main():
            async with Region(9, 1) as region:
                scheduler = region.scheduler
                member = region.members[0]
                target = scheduler.table.get("t0")
                load, run = target.load, OwnRun(100, 0, 0, monotonic())
                scheduler.reservations.add(member.name, 99, target, None, run)
                grant = TargetGrant(99, "t0", "", 0, 0, 0, "", 0)
                await member.handlers[Area.SCHEDULING](scheduler.name, grant)
                before = load.in_flight(monotonic())
                await curio.sleep(3 * REPORT_INTERVAL)
                return before, load.in_flight(monotonic())

        self.assertEqual(curio.run(main), (1, 0))


class TestQueue(unittest.TestCase):
    @params(([0, 0], [0, 1]), ([1, 0], [1, 0]))
    def test_requests_of_all_hosts_share_one_queue(self, ranks, order):
        """Guards against urgent requests that wait while less urgent ones are served.

        This happens in a full region if each host has a queue of its own.
        """

        async def main():
            async with Region(9, 1) as region:
                load = region.scheduler.table.get("t0").load
                for number in range(SLOTS):
                    load.begin(f"{number}", OwnRun(1, 0, 0, monotonic(), started=True))
                members = region.members
                served = []

                async def wait(number):
                    arrived = monotonic() - 1 + number / 100
                    found = await members[number].send(
                        "x", wait=0.2, rank=ranks[number], arrived=arrived
                    )
                    if isinstance(found, LocalPlacement):
                        served.append(number)

                async with curio.TaskGroup() as group:
                    for number in range(len(ranks)):
                        await group.spawn(wait, number)
                    await curio.sleep(0.05)
                    load.end("0")
                    await curio.sleep(0.08)
                    load.end("1")
                return served

        self.assertEqual(curio.run(main), order)

    @params((3, True), (60, False))
    def test_only_as_many_wait_as_can_be_served(self, waiting, served):
        """Guards against requests that wait half of their objective and are refused.

        In a full region more requests arrive than end in that time. A request must not
        join a queue that is too long already.
        """

        async def main():
            async with Region(9, 1) as region:
                chooser = region.scheduler
                load = chooser.table.get("t0").load
                for number in range(SLOTS):
                    load.begin(f"{number}", OwnRun(1, 0, 0, monotonic(), started=True))
                took = []

                async def wait(number):
                    began = monotonic()
                    await region.members[number % 8].send(f"w{number}", wait=0.8)
                    took.append(monotonic() - began)

                tasks = [await curio.spawn(wait, number) for number in range(waiting)]
                await curio.sleep(0.3)
                refused = len(took)
                for task in tasks:
                    await task.cancel()
                return refused

        refused = curio.run(main)
        self.assertEqual(refused == 0, served)
        # 32 slots that are held for a second start 25 requests in 0.8 s.
        self.assertLessEqual(waiting - refused, 25)

    def test_queue_drains_as_fast_as_capacity_frees_up(self):
        """Guards against requests that are refused while targets are idle.

        A region is full, 24 requests are queued, and all running ones end at once. If
        each check serves only the first three requests, the others wait for half of
        their objective and are then refused.
        """

        async def main():
            async with Region(9, 1) as region:
                load = region.scheduler.table.get("t0").load
                for number in range(SLOTS):
                    load.begin(f"{number}", OwnRun(1, 0, 0, monotonic(), started=True))
                found = []

                async def wait(number):
                    member = region.members[number % 8]
                    found.append(await member.send(f"w{number}", wait=0.9))

                tasks = [await curio.spawn(wait, number) for number in range(24)]
                await curio.sleep(0.1)
                for number in range(SLOTS):
                    load.end(f"{number}")
                await curio.sleep(3 * POLL_INTERVAL)
                served = len(found)
                for task in tasks:
                    await task.cancel()
                return served

        self.assertEqual(curio.run(main), 24)

    def test_full_region_is_reported(self):
        async def main():
            async with Region(9, 1) as region:
                load = region.scheduler.table.get("t0").load
                for number in range(SLOTS):
                    load.begin(f"{number}", OwnRun(1, 0, 0, monotonic(), started=True))
                member = region.members[0]
                return await member.send("x", wait=0.1)

        self.assertEqual(curio.run(main), NoLocalTarget(late=False))


class TestNoticeTraffic(unittest.TestCase):
    def test_own_traffic_leaves_the_link_to_callers(self):
        """Guards against a collector whose notices fill its link and delay its answers.

        With 64 hosts, 20 targets and 100 requests a second, this happens when each host
        gets each change of each target.
        """
        seconds = 3.0

        async def main():
            async with Region(HOSTS, 20) as region:
                region.sent_bytes.clear()
                hosts = list(region.hosts.values())
                until = monotonic() + seconds
                number = 0
                while monotonic() < until:
                    host = hosts[number % HOSTS]
                    found = await host.send(str(number))
                    found.target.load.end(str(number - 10 * HOSTS))
                    number += 1
                    await curio.sleep(0.008)
                return max(region.sent_bytes.values())

        self.assertLessEqual(curio.run(main), TRAFFIC_SHARE * LINK * seconds)


if __name__ == "__main__":
    unittest.main()
