"""Look-up of decision records between hosts linked by real sockets."""

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
    """One view shared by all hosts of a test; tests change the states."""

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
        """Take a host away without a farewell: nothing more is sent or answered."""
        await self.decisions[name]._task.cancel()
        await self.peers[name].close()

    def backup_of(self, request_id):
        parts = parse_request_id(request_id)
        hosts = self.membership.hosts(parts.region)
        return backup_order(hosts, parts.host, parts.slot)[0].name

    async def wait_for_copy(self, request_id):
        """Poll until the backup holds the record."""
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
    def test_any_host_finds_a_record(self, asked):
        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"], reason="only")
                answer = await hosts.decisions[asked].why(request_id)
                self.assertEqual([r.reason for r in answer.records], ["only"])
                self.assertEqual(answer.missing, [])

        curio.run(main)

    @params("bkk-2", "bkk-3", "sgp-1")
    def test_backup_answers_for_a_killed_host(self, asked):
        """Symptom: the operator asks why a request went wrong and nobody knows.

        Sequence: a host records a decision, the copy travels, the host is killed
        and is forgotten by the membership; any other host is asked. Cause that this
        guards against: the record lived only in the memory of the killed host.
        """

        async def main():
            async with site() as hosts:
                request_id = await recorded(hosts.decisions["bkk-1"], reason="only")
                await hosts.wait_for_copy(request_id)
                await hosts.kill("bkk-1")
                del hosts.membership.known["bkk-1"]
                answer = await hosts.decisions[asked].why(request_id)
                self.assertEqual([r.reason for r in answer.records], ["only"])

        curio.run(main)

    def test_lost_backup_leaves_the_original(self):
        """Symptom: a record is reported as gone although its host still has it.

        Sequence: the backup that got the copy is killed. Cause that this guards
        against: a look-up that trusts only the copy.
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

    def test_both_lost_is_said(self):
        """Symptom: the error of a lost record leaves the operator to guess.

        Sequence: host and backup are killed, a third host is asked. The error names
        who was asked, who did not answer, and since when the others keep records.
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

    def test_forward_is_followed(self):
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

    def test_away_region_cut_off_gives_the_home_part(self):
        """Symptom: a partition between regions hides also the part that is at hand.

        Sequence: a request was forwarded to another region, then that region can't
        be reached. The answer holds the home record and names what is missing.
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

    def test_cut_off_region_is_not_called_lost(self):
        """Symptom: a record is called gone while its region is only out of reach."""

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

    def test_copy_leaves_at_once_after_a_quiet_interval(self):
        """Symptom: a host is killed right after a request, and nobody knows why.

        Sequence: one request in a quiet time, then the kill. Cause: copies were sent
        only when the interval had passed. Later ones of the interval are gathered.
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
        """Symptom: the newest records of a restarted host are missing.

        Sequence: a host records and is shut down before the next copy is due.
        Cause that this guards against: closing the links drops what is queued.
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

    def test_few_hosts_are_asked(self):
        """A look-up in a large region asks the host and three backups at most."""

        async def main():
            async with site() as hosts:
                for index in range(100):
                    name = f"bkk-x{index}"
                    hosts.membership.known[name] = FakeHost(name, "bkk", "bkk-a")
                asker = hosts.decisions["sgp-1"]
                with self.assertRaises(RecordNotFound):
                    await asker.why(new_request_id("bkk-1", "bkk"))
                self.assertEqual(asker._metrics.counters()["decisions.asked"], 4)

        curio.run(main)

    @params("", "x", "bkk-1.bkk.123", "a/b.bkk." + "0" * 32, "bkk-1." + "0" * 32)
    def test_malformed_id_is_refused(self, text):
        async def main():
            async with site(layout={"bkk": ["bkk-1"]}) as hosts:
                with self.assertRaises(BadRequestId) as caught:
                    await hosts.decisions["bkk-1"].why(text)
                self.assertIn("Bronzepoint-Request-Id", caught.exception.remedy)

        curio.run(main)
