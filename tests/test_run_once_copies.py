"""Replicas that lose their memory, restart from their log, or are added."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.run_once import Claimed, Done, Unavailable, Unknown
from tests._run_once_network import Region
from tests.test_run_once_claims import ANSWER, claim, key_at

LOG = "run_once.log"
MAX_WAIT = 30.0
"""Maximum seconds to wait for a condition."""


async def run_and_finish(region, host, key):
    first = await claim(region, host, key)
    assert isinstance(first, Claimed), first
    await region.hosts[host].finish(first.token, ANSWER)


async def run_and_finish_with_retries(region, host, key):
    """Run and finish, with retries for votes that arrive after the short timeout.

    Votes may be late under load. The key is then unclaimed and the caller retries.
    """
    until = monotonic() + MAX_WAIT
    while isinstance(first := await claim(region, host, key), Unavailable):
        assert monotonic() < until, first
        await curio.sleep(0.05)
    assert isinstance(first, Claimed), first
    await region.hosts[host].finish(first.token, ANSWER)


async def wipe(region, name):
    """Restart a host without its memory."""
    await region.kill(name)
    await region.boot(name)


class LostMemoryTest(unittest.TestCase):
    def test_replicas_lost_one_after_another(self):
        """Every replica is replaced by an empty one, one after another.

        After a request has run, a restarts empty, then b, then c. If an empty replica
        voted before reading the others, a and b would be a majority without a record
        of the request, and it would run again.
        """

        async def main():
            async with Region() as region:
                keys = [key_at() for _ in range(20)]
                for key in keys:
                    await run_and_finish(region, "a", key)
                for name in "abc":
                    await wipe(region, name)
                    await region.all_ready()
                for key in keys:
                    self.assertEqual(await claim(region, "b", key), Done(ANSWER))

        curio.run(main)

    def test_second_replica_lost_before_the_first_has_recovered(self):
        """Two of three replicas are empty, so old keys can't be resolved.

        Old keys are refused as not run; keys created after the loss are served.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                await run_and_finish(region, "a", key)
                region.network.isolate("c")
                await wipe(region, "a")
                await wipe(region, "b")
                await region.wait(lambda: region.hosts["a"].ready)
                await region.wait(lambda: region.hosts["b"].ready)
                self.assertIsInstance(await claim(region, "a", key), Unavailable)
                self.assertIsInstance(await claim(region, "a", key_at()), Claimed)
                region.network.blocked_links.clear()
                await region.wait(lambda: region.hosts["c"].ready)
                self.assertIsInstance(await claim(region, "a", key), Unavailable)

        curio.run(main)

    def test_late_vote_of_an_earlier_incarnation_does_not_count(self):
        """A replica's vote arrives after the replica has lost the state it voted for.

        Host d proposes a claim on a key owned by a, b and c. Host b stores it, but its
        vote and the message to a are delayed. Host b is wiped and reads a and c, which
        hold nothing yet. Then b's vote and the message to a arrive, and a votes too.
        This looks like a majority, but only a holds the claim: b and c could form
        another majority and grant the key to c.
        """

        async def main():
            async with Region("abcd", timeout=3.0) as region:
                network = region.network
                key = key_at()
                while sorted(region.hosts["d"].owners(key)) != list("abc"):
                    key = key_at()

                def should_hold(source, target, message):
                    accept = "accept" in (message["kind"], message.get("phase"))
                    return accept and (source, target) in {("b", "d"), ("d", "a")}

                network.should_hold = should_hold
                network.blocked_links |= {frozenset("ac"), frozenset("cd")}
                proposal = await curio.spawn(claim, region, "d", key)
                await region.wait(lambda: len(network.held_messages) >= 2)
                network.blocked_links.add(frozenset("bd"))
                await wipe(region, "b")

                async def granted_to_c():
                    return isinstance(await claim(region, "c", key), Claimed)

                await region.wait(lambda: region.hosts["b"].ready)
                network.release_held()
                await region.wait(granted_to_c)
                self.assertNotIsInstance(await proposal.join(), Claimed)

        curio.run(main)


class LogTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_whole_region_restarts(self):
        """All hosts are killed at the same time, as in a power failure."""

        async def main():
            async with Region(folder=self.folder, timeout=5.0) as region:
                key, open_key = key_at(), key_at()
                await run_and_finish(region, "a", key)
                await claim(region, "b", open_key)
                for name in "abc":
                    await region.kill(name)
                for name in "abc":
                    await region.boot(name)
                await region.all_ready()
                self.assertEqual(await claim(region, "c", key), Done(ANSWER))
                self.assertEqual(await claim(region, "c", open_key), Unknown())

        curio.run(main)

    def test_concurrent_votes_share_a_sync(self):
        async def main():
            async with Region("a", folder=self.folder, copies=1, timeout=5.0) as region:
                before = region.counters()
                async with curio.TaskGroup() as group:
                    for _ in range(50):
                        await group.spawn(claim, region, "a", key_at())
                after = region.counters()

                def grown(name):
                    return after[name] - before.get(name, 0)

                self.assertEqual(grown("run_once.claim.claimed"), 50)
                self.assertEqual(grown("run_once.log.records"), 100)
                self.assertLess(grown("run_once.log.syncs"), 50)

        curio.run(main)

    def test_vote_waits_for_its_sync(self):
        """A vote that is sent before its sync is lost if the power fails.

        While the disk hangs no vote may be sent, so the claim must fail.
        """

        async def main():
            async with Region("a", folder=self.folder, copies=1) as region:
                release = curio.UniversalEvent()
                sync = os.fdatasync

                def hang(descriptor):
                    release.wait()
                    sync(descriptor)

                with mock.patch("os.fdatasync", hang):
                    result = await claim(region, "a", key_at())
                    self.assertIsInstance(result, Unavailable)
                    await release.set()

        curio.run(main)

    def test_replica_with_failed_disk_does_not_vote(self):
        """The disk is full: the replica must not vote on state it can't store."""

        async def main():
            async with Region(folder=self.folder) as region:
                full = OSError(errno.ENOSPC, "no space left")
                with mock.patch("os.fdatasync", side_effect=full):
                    result = await claim(region, "a", key_at())
                    await region.wait(lambda: not region.hosts["a"].ready)
                self.assertIsInstance(result, Unavailable)
                self.assertGreaterEqual(region.counters()["run_once.log.failed"], 1)

        curio.run(main)

    @params((b"", "torn"), (b"\xff" * 40, "damaged"))
    def test_damaged_log_is_set_aside_and_read_from_others(self, patch, damage):
        """One host's log is truncated or damaged while it is down.

        No vote was sent for a torn last write, so the rest of the log is used. Damage
        in the middle is a loss of memory: the host starts and reads the others.
        """

        async def main():
            async with Region(folder=self.folder, timeout=5.0) as region:
                key = key_at()
                await run_and_finish(region, "a", key)
                # There are intact records after the damaged one.
                await run_and_finish(region, "a", key_at())
                await region.kill("a")
                path = self.folder / "a" / LOG
                content = path.read_bytes()
                middle = len(content) // 2
                if damage == "torn":
                    path.write_bytes(content[:-3])
                else:
                    tail = content[middle + len(patch) :]
                    path.write_bytes(content[:middle] + patch + tail)
                await region.boot("a")
                await region.all_ready()
                corrupt = region.counters().get("run_once.log.corrupt", 0)
                self.assertEqual(corrupt, int(damage == "damaged"))
                await region.kill("b")
                self.assertEqual(await claim(region, "c", key), Done(ANSWER))

        curio.run(main)

    def test_log_is_compacted(self):
        async def main():
            async with Region("a", folder=self.folder, copies=1, timeout=5.0) as region:
                with mock.patch(
                    "bronzepoint_node.run_once._replica_log.MIN_RECORDS_TO_COMPACT", 10
                ):
                    await region.kill("a")
                    await region.boot("a")
                    for _ in range(20):
                        await run_and_finish(region, "a", key_at())
                self.assertGreaterEqual(
                    region.counters()["run_once.log.compactions"], 1
                )
                await region.kill("a")
                await region.boot("a")
                self.assertEqual(region.hosts["a"].registers, 20)

        curio.run(main)


class NewHostTest(unittest.TestCase):
    def test_previous_and_new_owners_never_both_agree(self):
        """Hosts are added while some hosts don't have them on their lists yet.

        Hosts a, b and c own every key; x and y join, and only a learns of them. For a
        key whose new owners are a, x and y, these could agree on one claim, and b and
        c, with the old list, on another.
        """

        async def main():
            async with Region(timeout=0.1) as region:
                everyone = list("abcxy")
                for old in "bc":
                    for new in "xy":
                        region.network.blocked_links.add(frozenset((old, new)))
                for new in "xy":
                    await region.boot(new, everyone)
                a = region.hosts["a"]
                await region.wait(lambda: len(a._owners.hosts) == 5)
                for _ in range(20):
                    await curio.sleep(0.005)
                    key = key_at()
                    results = [await claim(region, host, key) for host in "xb"]
                    kinds = [type(result) for result in results]
                    self.assertLessEqual(kinds.count(Claimed), 1)
                region.network.blocked_links.clear()
                await region.all_ready()
                await curio.sleep(4 * region.section.clock_skew)
                key = key_at()
                await run_and_finish_with_retries(region, "x", key)
                for host in everyone:
                    self.assertEqual(await claim(region, host, key), Done(ANSWER))

        curio.run(main)

    def test_older_keys_stay_with_their_owners(self):
        """A request ran before a host was added and is resent through that host."""

        async def main():
            async with Region() as region:
                keys = [key_at() for _ in range(20)]
                for key in keys:
                    await run_and_finish(region, "a", key)
                for new in "xy":
                    await region.boot(new, list("abcxy"))
                await region.all_ready()
                for key in keys:
                    self.assertNotIsInstance(await claim(region, "x", key), Claimed)
                    self.assertEqual(await claim(region, "b", key), Done(ANSWER))

        curio.run(main)
