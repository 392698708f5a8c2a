"""Membership of several hosts: discovery, failure, recovery, draining, regions."""

import time
import unittest
from bisect import insort
from unittest import mock

import curio

from bronzepoint_node.membership import HostState, LoadSummary
from bronzepoint_node.membership import _membership as membership_module
from bronzepoint_schema.generated.membership import (
    EntryShare,
    HostRecord,
    RegionReport,
    TargetNotice,
)
from tests._membership_net import Group, make_settings, run_group, until

REGION = ["bkk-0", "bkk-1", "bkk-2"]
TWO_REGIONS = [*REGION, "sgp-0", "sgp-1", "sgp-2"]


def all_live(group: Group, hosts: list[str]) -> bool:
    return all(
        state is HostState.live
        for name in hosts
        for state in group.states(name).values()
    )


def any_known(group: Group, hosts: list[str], others: list[str]) -> bool:
    """Return whether any of these hosts lists any of the others."""
    return any(group.members[name].host(other) for name in hosts for other in others)


class TestRegion(unittest.TestCase):
    def test_hosts_that_settings_do_not_name_are_learned(self) -> None:
        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            peers = group.network.links["bkk-2"]
            self.assertEqual(peers.addresses["bkk-1"], "bkk-1:90")

        run_group(Group(REGION, seeds=["bkk-0"]), scenario)

    def test_stopped_host_is_dead_and_live_again_after_it_resumes(self) -> None:
        """A host that stops without closing its connections must be detected.

        After SIGSTOP, or a partition that drops packets, no connection is reset. Only
        the missing heartbeats show it; without them callers would still be directed
        to the host.
        """

        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            group.stop("bkk-1")
            dead = {HostState.dead}
            await until(lambda: set(group.states("bkk-1").values()) == dead)
            self.assertEqual(group.members["bkk-0"].host("bkk-2").state, "live")
            self.assertEqual(len(group.members["bkk-0"].region_hosts()), 3)
            group.network.blocked_links.clear()
            await until(lambda: all_live(group, REGION))

        run_group(Group(REGION), scenario)

    def test_sides_of_a_long_partition_meet_again(self) -> None:
        """Guards against a region that stays split for good: each side has removed the
        hosts of the other, and the only host that the settings name is gone."""
        first, second = ["bkk-1", "bkk-2"], ["bkk-3", "bkk-4"]

        async def scenario(group: Group) -> None:
            everyone = ["bkk-0", *first, *second]
            await until(lambda: all_live(group, everyone))
            await group.members.pop("bkk-0")._tasks.cancel_remaining()
            del group.network.links["bkk-0"]
            group.network.partition(first, second)
            await until(lambda: not any_known(group, first, second))
            await until(lambda: not any_known(group, second, first))
            group.network.blocked_links.clear()
            await until(lambda: all_live(group, [*first, *second]))

        with mock.patch.object(membership_module, "_REMOVE_AFTER_LIFETIMES", 0.002):
            run_group(Group(["bkk-0", *first, *second], ["bkk-0"]), scenario)

    def test_host_that_changed_settings_name_is_contacted(self) -> None:
        """Guards against a host that reads its settings at its start only: those that
        it knows are gone, and the file names others by then."""
        hosts = ["bkk-1", "bkk-2"]

        async def scenario(group: Group) -> None:
            await curio.sleep(1.0)
            self.assertFalse(any_known(group, hosts[:1], hosts[1:]))
            group.members["bkk-1"].add_contacts(make_settings("bkk-1", hosts))
            self.assertFalse(any_known(group, hosts[:1], hosts[1:]))
            await until(lambda: all_live(group, hosts))

        run_group(Group(hosts, ["bkk-0"]), scenario)

    def test_restarted_host_replaces_its_earlier_incarnation(self) -> None:
        """A host that is killed and restarted immediately must be seen as live.

        Its counter restarts at 1, below the value that the others know. Without the
        incarnation, its heartbeats would look outdated and the host would count as
        dead for as long as its earlier incarnation ran.
        """

        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            old = group.members["bkk-1"].host("bkk-1").incarnation
            await group.members["bkk-1"]._tasks.cancel_remaining()
            group.members["bkk-1"] = group.make("bkk-1")
            await group.members["bkk-1"].start()

            def superseded() -> bool:
                info = group.members["bkk-0"].host("bkk-1")
                return info.incarnation > old and info.state is HostState.live

            await until(superseded)

        run_group(Group(REGION), scenario)

    def test_drain_wait_ends_when_all_hosts_know(self) -> None:
        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            acknowledged: list[bool] = []
            member = group.members["bkk-0"]
            member.on_drain_acknowledged(lambda: acknowledged.append(True))
            self.assertTrue(await member.wait_drain_acknowledged(30.0))
            self.assertEqual(acknowledged, [True])
            self.assertEqual(set(group.states("bkk-0").values()), {HostState.draining})

        run_group(Group(REGION), scenario)

    def test_callback_runs_when_all_hosts_know_of_the_drain(self) -> None:
        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            acknowledged: list[bool] = []
            group.members["bkk-0"].on_drain_acknowledged(
                lambda: acknowledged.append(True)
            )
            group.members["bkk-0"].set_draining()
            await until(lambda: bool(acknowledged))
            self.assertEqual(set(group.states("bkk-0").values()), {HostState.draining})

        run_group(Group(REGION), scenario)

    def test_draining_ends_in_time_though_a_host_does_not_answer(self) -> None:
        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            group.stop("bkk-2")
            self.assertFalse(await group.members["bkk-0"].wait_drain_acknowledged(0.1))

        run_group(Group(REGION), scenario)

    def test_host_that_closes_is_dead_at_once(self) -> None:
        async def scenario(group: Group) -> None:
            await until(lambda: all_live(group, REGION))
            await group.members["bkk-0"].close()
            self.assertEqual(set(group.states("bkk-0").values()), {HostState.dead})

        run_group(Group(REGION), scenario)

    def test_notice_of_a_target_reaches_all_hosts(self) -> None:
        async def scenario(group: Group) -> None:
            receivers: list[str] = []
            for name, member in group.members.items():
                member.on_notice(lambda _, name=name: insort(receivers, name))
            notice = TargetNotice("engine-1", leaving=True, as_of=time.time())
            group.members["bkk-0"].report_notice(notice)
            await until(lambda: receivers == ["bkk-0", "bkk-1", "bkk-2"])

        run_group(Group(REGION), scenario)


class TestRegions(unittest.TestCase):
    def test_load_of_a_region_is_known_in_the_other(self) -> None:
        async def scenario(group: Group) -> None:
            for name in REGION:
                share = EntryShare("phrases", slots=24, in_progress=5, expected_wait=2)
                group.members[name].publish(LoadSummary(entries=[share]))

            def known() -> bool:
                summaries = [m.regions()["bkk"] for m in group.members.values()]
                loads = [summary.entries.get("phrases") for summary in summaries]
                return all(load and load.in_progress == 15 for load in loads)

            await until(known)
            summary = group.members["sgp-1"].regions()["bkk"]
            self.assertEqual((summary.live, summary.reachable), (3, True))
            self.assertEqual(summary.free_slots, 9)
            self.assertEqual(summary.entries["phrases"].expected_wait, 2)

        run_group(Group(TWO_REGIONS), scenario)

    def test_partitioned_region_is_unreachable_until_the_partition_heals(self) -> None:
        """Two partitioned regions must consider each other unreachable.

        The links between the regions drop all packets. The last report stays in
        memory, and only its age shows that it is outdated; otherwise requests would
        be forwarded to an unreachable region.
        """

        async def scenario(group: Group) -> None:
            def reachable(value: bool) -> bool:
                here = [group.members[n].regions()["sgp"] for n in REGION]
                return all(summary.reachable is value for summary in here)

            await until(lambda: reachable(True))
            group.network.partition(REGION, TWO_REGIONS[3:])
            await until(lambda: reachable(False))
            member = group.members["bkk-0"]
            self.assertEqual(member.live("sgp"), [])
            self.assertEqual(len(member.live("bkk")), 3)
            group.network.blocked_links.clear()
            await until(lambda: reachable(True))

        run_group(Group(TWO_REGIONS), scenario)

    def test_regions_reconnect_after_all_listed_hosts_were_replaced(self) -> None:
        """Regions reconnect after a partition in which both replaced their hosts.

        Each region holds a list of hosts of the other that no longer exist. If reports
        were sent only to these, no newer list could arrive and the regions would never
        reconnect.
        """

        async def scenario(group: Group) -> None:
            here, there = group.members["bkk-0"], group.members["sgp-0"]
            replaced = {
                "bkk": make_replaced_hosts("bkk"),
                "sgp": make_replaced_hosts("sgp"),
            }
            for member, region in ((here, "sgp"), (there, "bkk")):
                report = RegionReport(region, 2**40, 1, 2**40, replaced[region])
                member._regions.merge(report)

            def reconnected() -> bool:
                lists = [here._regions.hosts("sgp"), there._regions.hosts("bkk")]
                return [record.name for each in lists for record in each] == [
                    "sgp-0",
                    "bkk-0",
                ]

            await until(reconnected)

        run_group(Group(["bkk-0", "sgp-0"]), scenario)

    def test_regions_meet_again_through_a_third_one(self) -> None:
        """Guards against two regions that never meet again, since each has
        replaced all hosts that the other knows, while a third region knows both."""

        async def scenario(group: Group) -> None:
            def has_met(name: str, other: str) -> bool:
                hosts = group.members[f"{name}-0"]._regions.hosts(other)
                return [record.name for record in hosts] == [f"{other}-0"]

            group.network.partition(["bkk-0"], ["sgp-0"])
            for name, other in (("bkk", "sgp"), ("sgp", "bkk")):
                reporter = group.members[f"{name}-0"]._region_reporter
                reporter._seeds[other] = make_replaced_hosts(other)
            await until(lambda: has_met("ist", "bkk") and has_met("ist", "sgp"))
            group.network.blocked_links.clear()
            await until(lambda: has_met("bkk", "sgp") and has_met("sgp", "bkk"))

        run_group(Group(["bkk-0", "sgp-0", "ist-0"]), scenario)


def make_replaced_hosts(region: str) -> list[HostRecord]:
    """Return the list of a region whose only listed host no longer exists."""
    name = f"{region}-gone"
    return [HostRecord(name, region, "dc", f"{name}:80", f"{name}:90", 1)]
