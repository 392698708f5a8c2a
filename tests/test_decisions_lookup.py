"""Lookup of decision records between hosts linked by real sockets."""

import unittest
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_node.decisions import (
    BadRequestId,
    Decisions,
    RecordNotFound,
    RecordUnreachable,
    backup_order,
    new_request_id,
    parse_request_id,
)
from bronzepoint_schema.generated.decisions import (
    DecisionRecord,
    Outcome,
    Try,
    TryResult,
)
from bronzepoint_schema.generated.settings import DecisionsSection, HostSection
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName
from tests._addresses import free_address

KEY = bytes(32)
DEADLINE = 30.0
"""Seconds after which a test fails while it waits for a copy."""
CFG = DecisionsSection(copy_interval=0.05, timeout=0.3)
LAYOUT = {"bkk": ["bkk-1", "bkk-2", "bkk-3"], "sgp": ["sgp-1", "sgp-2"]}


@dataclass
class FakeHost:
    name: HostName
    region: RegionName
    data_center: DataCenterName
    state: str = "live"


@dataclass
class FakeMembership:
    """A membership view that all hosts of a test share; tests change the states."""

    known: dict[str, FakeHost] = field(default_factory=dict)

    def hosts(self, region=None):
        return [h for h in self.known.values() if region in (None, h.region)]

    def host(self, name):
        return self.known.get(name)


@dataclass
class Site:
    """The hosts of one test."""

    membership: FakeMembership
    decisions: dict[str, Decisions]
    peers: dict[str, Peers]

    async def kill(self, name):
        """Stop a host without a clean shutdown; it sends and answers nothing more."""
        await self.decisions[name]._task.cancel()
        await self.peers[name].close()

    def backup_of(self, request_id):
        parts = parse_request_id(request_id)
        hosts = self.membership.hosts(parts.region)
        return backup_order(hosts, parts.host, parts.slot)[0].name

    async def wait_for_copy(self, request_id):
        """Poll until the backup has the record."""
        store = self.decisions[self.backup_of(request_id)]._store
        async with curio.timeout_after(DEADLINE):
            while not store.find(request_id):
                await curio.sleep(0.01)


@asynccontextmanager
async def site(cfg=CFG, layout=LAYOUT):
    membership = FakeMembership()
    addresses = {}
    for region, names in layout.items():
        for name in names:
            membership.known[name] = FakeHost(name, region, f"{region}-a")
            addresses[name] = free_address()
    peers = {
        name: Peers(name, address, KEY, Metrics())
        for name, address in addresses.items()
    }
    decisions = {}
    for name, links in peers.items():
        for other, address in addresses.items():
            links.set_address(other, address)
        host = membership.known[name]
        section = HostSection(name, host.region, host.data_center)
        decisions[name] = Decisions(section, links, membership, Metrics(), cfg)
        await links.start()
        await decisions[name].start()
    try:
        yield Site(membership, decisions, peers)
    finally:
        for name, links in peers.items():
            await decisions[name].close()
            await links.close()


def record_of(decisions, request_id, **fields):
    host = decisions._host
    return DecisionRecord(request_id, host.name, host.region, 1.0, **fields)


async def recorded(decisions, **fields):
    """Record one decision and return its request id."""
    request_id = decisions.new_request_id()
    await decisions.record(record_of(decisions, request_id, **fields))
    return request_id


class LookupTest(unittest.TestCase):
    @params("bkk-1", "bkk-2", "sgp-1")
    def test_any_host_finds_a_record(self, queried):
        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"], reason="only")
                answer = await hosts.decisions[queried].why(request_id)
                self.assertEqual([r.reason for r in answer.records], ["only"])
                self.assertEqual(answer.missing, [])

        curio.run(main)

    @params("bkk-2", "bkk-3", "sgp-1")
    def test_backup_answers_for_a_killed_host(self, queried):
        """Guards against the loss of a record together with its host.

        A host records a decision and sends the copy, then it is killed and removed
        from the membership. If the record were only in its memory, it would be lost.
        """

        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"], reason="only")
                await hosts.wait_for_copy(request_id)
                await hosts.kill("bkk-1")
                del hosts.membership.known["bkk-1"]
                answer = await hosts.decisions[queried].why(request_id)
                self.assertEqual([r.reason for r in answer.records], ["only"])

        curio.run(main)

    def test_original_is_found_after_the_backup_is_lost(self):
        """Guards against a record reported as lost while its host still has it.

        The backup with the copy is killed. A lookup that queries only the backup would
        find nothing.
        """

        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"])
                await hosts.wait_for_copy(request_id)
                backup = hosts.backup_of(request_id)
                await hosts.kill(backup)
                hosts.membership.known[backup].state = "dead"
                answer = await hosts.decisions["sgp-1"].why(request_id)
                self.assertEqual(len(answer.records), 1)
                second = await recorded(hosts.decisions["bkk-1"])
                third = ({"bkk-2", "bkk-3"} - {backup}).pop()
                async with curio.timeout_after(DEADLINE):
                    while not hosts.decisions[third]._store.find(second):
                        await curio.sleep(0.01)

        curio.run(main)

    def test_error_explains_the_loss_of_both_copies(self):
        """Guards against an error that doesn't tell why a record is lost.

        Host and backup are killed, then the record is looked up from another host. The
        error must name the hosts that did not answer, and the time since which the
        others have records.
        """

        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"])
                await hosts.wait_for_copy(request_id)
                backup = hosts.backup_of(request_id)
                for name in ("bkk-1", backup):
                    await hosts.kill(name)
                    hosts.membership.known[name].state = "dead"
                third = ({"bkk-2", "bkk-3"} - {backup}).pop()
                with self.assertRaises(RecordNotFound) as caught:
                    await hosts.decisions["sgp-2"].why(request_id)
                self.assertIn("bkk-1 did not answer", caught.exception.message)
                self.assertIn(f"{third} has none", caught.exception.message)
                self.assertIn("keep", caught.exception.remedy)

        curio.run(main)

    def test_lookup_follows_forwards(self):
        async def main():
            async with site() as hosts:
                home = hosts.decisions["bkk-1"]
                request_id = home.new_request_id()
                away = record_of(
                    hosts.decisions["sgp-2"], request_id, forwarded_from="bkk-1"
                )
                await hosts.decisions["sgp-2"].record(away)
                attempt = Try("sgp-2", "sgp", 0.1, TryResult.answered)
                await home.record(record_of(home, request_id, tries=[attempt]))
                answer = await hosts.decisions["bkk-3"].why(request_id)
                self.assertEqual([r.host for r in answer.records], ["bkk-1", "sgp-2"])

        curio.run(main)

    def test_partition_leaves_the_local_part_available(self):
        """Guards against a network partition that hides records still available.

        A request was forwarded to another region, which can't be reached any more. The
        answer must contain the record of this region and name the missing part.
        """

        async def main():
            async with site() as hosts:
                home = hosts.decisions["bkk-1"]
                attempt = Try("sgp-2", "sgp", 0.1, TryResult.answered)
                request_id = await recorded(home, tries=[attempt])
                for name in LAYOUT["sgp"]:
                    await hosts.kill(name)
                answer = await home.why(request_id)
                self.assertEqual([r.host for r in answer.records], ["bkk-1"])
                [part] = answer.missing
                self.assertEqual((part.host, part.region), ("sgp-2", "sgp"))
                self.assertIn("sgp-2 did not answer", part.reason)

        curio.run(main)

    def test_unreachable_region_is_not_reported_as_lost(self):
        """Guards against a record reported as lost while its region is unreachable."""

        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"])
                for name in LAYOUT["bkk"]:
                    await hosts.kill(name)
                    hosts.membership.known[name].state = "dead"
                with self.assertRaises(RecordUnreachable) as caught:
                    await hosts.decisions["sgp-1"].why(request_id)
                self.assertGreater(caught.exception.retry_after, 0)

        curio.run(main)

    def test_copy_is_sent_at_once_after_an_idle_interval(self):
        """Guards against the loss of a record if its host is killed right after.

        This happened when copies were sent only at the end of an interval. The first
        record after an idle interval must be copied at once; later ones of the interval
        are batched.
        """

        async def main():
            slow = DecisionsSection(copy_interval=600.0, timeout=5.0)
            async with site(slow) as hosts:
                first = await recorded(hosts.decisions["bkk-1"])
                await hosts.wait_for_copy(first)
                for _ in range(3):
                    await recorded(hosts.decisions["bkk-1"])
                counters = hosts.decisions["bkk-1"]._metrics.counters()
                self.assertEqual(counters["decisions.copied"], 1)

        curio.run(main)

    def test_last_records_survive_a_clean_shutdown(self):
        """Guards against the loss of a restarted host's newest records.

        A host is shut down before the next copy is due. Closing the links drops queued
        messages, so the copies must be sent and confirmed before.
        """

        async def main():
            slow = DecisionsSection(copy_interval=600.0, timeout=5.0)
            async with site(slow) as hosts:
                await recorded(hosts.decisions["bkk-1"])
                request_id = await recorded(hosts.decisions["bkk-1"])
                await hosts.decisions["bkk-1"].close()
                await hosts.peers["bkk-1"].close()
                hosts.membership.known["bkk-1"].state = "dead"
                answer = await hosts.decisions["bkk-2"].why(request_id)
                self.assertEqual(len(answer.records), 1)

        curio.run(main)

    def test_final_record_replaces_the_one_before_the_forward(self):
        async def main():
            async with site() as hosts:
                home = hosts.decisions["bkk-1"]
                request_id = await recorded(home)
                await hosts.wait_for_copy(request_id)
                final = record_of(home, request_id, outcome=Outcome.answered)
                await home.record(final)
                answer = await hosts.decisions["bkk-2"].why(request_id)
                self.assertEqual(answer.records, [final])

        curio.run(main)

    def test_few_hosts_are_queried(self):
        """A lookup in a large region queries the host and at most three backups."""

        async def main():
            async with site() as hosts:
                for index in range(100):
                    name = f"bkk-x{index}"
                    hosts.membership.known[name] = FakeHost(name, "bkk", "bkk-a")
                querying_host = hosts.decisions["sgp-1"]
                with self.assertRaises(RecordNotFound):
                    await querying_host.why(new_request_id("bkk-1", "bkk"))
                self.assertEqual(
                    querying_host._metrics.counters()["decisions.asked"], 4
                )

        curio.run(main)

    @params("", "x", "bkk-1.bkk.123", "a/b.bkk." + "0" * 32, "bkk-1." + "0" * 32)
    def test_malformed_id_is_refused(self, text):
        async def main():
            async with site(layout={"bkk": ["bkk-1"]}) as hosts:
                with self.assertRaises(BadRequestId) as caught:
                    await hosts.decisions["bkk-1"].why(text)
                self.assertIn("Bronzepoint-Request-Id", caught.exception.remedy)

        curio.run(main)
