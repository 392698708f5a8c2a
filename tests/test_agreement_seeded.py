"""A core that forms from seeds, keeps one document, and replaces lost hosts."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.agreement import AgreementError
from bronzepoint_node.agreement._vote_handler import VoteHandler
from bronzepoint_schema.generated.agreement import VoteRequest
from tests._seeded_cluster import PartitionablePeers, SeededCluster, with_cluster

FIVE = ("a1", "b1", "c1", "a2", "b2")


class TestFormation(unittest.TestCase):
    @with_cluster(*FIVE)
    async def test_all_hosts_with_disks_come_to_vote(self, cluster):
        await cluster.put("b2", 3, b"three")
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        self.assertEqual(await cluster.read("c1"), (3, b"three"))

    @with_cluster("a1", "b1", "c1")
    async def test_wiped_seeds_never_form_a_second_cluster(self, cluster):
        """Symptom: an accepted catalogue is gone, and an empty one is served.
        Sequence: a majority of the disks is lost; the hosts start again, blank.
        Cause: blank seeds took themselves for a system that starts for the first
        time. They must wait instead for the disk that still knows."""
        await cluster.put("a1", 1)
        first = cluster.running["c1"]._voter.log.identity.cluster
        for name in ("a1", "b1"):
            await cluster.wipe(name)
        for name in ("a1", "b1"):
            await cluster.start(name)
        await curio.sleep(1.5)
        with self.assertRaises(AgreementError):
            await cluster.read("a1", timeout=0.5)
        # Where c1 led and still sends, the blank ones follow it; a third cluster is
        # what must not be.
        for name in ("a1", "b1"):
            found = cluster.running[name]._voter.log.identity.cluster
            self.assertIn(found, ("", first))

    @with_cluster(*FIVE)
    async def test_host_gone_for_good_is_replaced_at_another_address(self, cluster):
        await cluster.put("a1", 1)
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        await cluster.stop("b1")
        await cluster.start("b3")
        expected = {"a1", "c1", "a2", "b2", "b3"}
        await cluster.until(lambda: cluster.voters("a1") == expected)
        await cluster.put("b3", 2)
        self.assertEqual(await cluster.read("a2"), (2, b"x"))

    @with_cluster(*FIVE)
    async def test_wiped_host_is_counted_again_and_a_second_loss_is_survived(
        self, cluster
    ):
        await cluster.put("a1", 1, b"kept")
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        await cluster.wipe("c1")
        await cluster.start("c1")
        joined = cluster.running["c1"]._voter
        await cluster.until(lambda: joined.may_vote())
        for name in ("a1", "b1"):
            await cluster.stop(name)
        self.assertEqual(await cluster.read("c1"), (1, b"kept"))

    @with_cluster("a1", "b1", "c1", "a2")
    async def test_host_without_a_vote_follows_the_next_leader(self, cluster):
        """Symptom: entry hosts of one region serve an older catalogue for seconds.
        Sequence: the leader is lost; a host that knew it and has no vote asks it to be
        followed up, again and again; the next leader doesn't know of that host.
        Cause: it asked nobody else while it remembered a leader. (Hunt of
        karadeniz-grown, day hunt-64fc-7.)"""
        await cluster.put("a1", 1)
        learner = cluster.running["a2"]
        await cluster.until(lambda: learner.document and learner.document.version == 1)
        names = ("a1", "b1", "c1")
        lost = next(n for n in names if cluster.running[n]._voter.is_leader)
        await cluster.stop(lost)
        await cluster.put(next(n for n in names if n != lost), 2)
        await cluster.until(lambda: learner.document.version == 2)


class TestDocument(unittest.TestCase):
    @params(
        ((1, b"a"), (2, b"b"), (2, b"b")),  # the higher version is in force
        ((5, b"a"), (4, b"b"), (5, b"a")),  # an overtaken one changes nothing
        ((5, b"a"), (5, b"b"), (5, b"a")),  # nor does another of the same number
    )
    def test_highest_version_wins(self, first, second, expected):
        async def main():
            async with SeededCluster("a1", "b1", "c1") as cluster:
                await cluster.put("a1", *first)
                await cluster.put("b1", *second)
                return [await cluster.read(name) for name in cluster.names]

        self.assertEqual(curio.run(main), [expected] * 3)

    @with_cluster("a1", "b1", "c1")
    async def test_two_operators_with_one_number_get_one_document(self, cluster):
        async with curio.TaskGroup() as group:
            for number, name in enumerate(cluster.names):
                await group.spawn(cluster.put, name, 7, b"%d" % number)
        documents = {await cluster.read(name) for name in cluster.names}
        self.assertEqual(len(documents), 1)

    @with_cluster("a1", "b1", "c1")
    async def test_host_that_is_cut_off_gives_no_old_document(self, cluster):
        await cluster.put("a1", 1)
        PartitionablePeers.cut = {"c1"}
        with self.assertRaises(AgreementError):
            # The others may go on at any moment, also right now.
            await curio.sleep(1.5)
            await cluster.read("c1", timeout=0.8)
        PartitionablePeers.cut = set()
        await cluster.put("a1", 2)
        self.assertEqual(await cluster.read("c1"), (2, b"x"))

    @with_cluster(*FIVE)
    async def test_everything_is_there_after_all_hosts_were_killed(self, cluster):
        """Symptom: after a kill of the whole core nothing was served any more.
        Sequence: hosts join by the leader's snapshot, acknowledge changes, and all
        hosts are started again at once.
        Cause: see test_agreement_storage; the quorum had forgotten the changes."""
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        await cluster.put("a1", 9, b"nine")
        await cluster.running["b1"].close_data_center("a-x", True, 10.0)
        for name in FIVE:
            await cluster.stop(name)
        for name in FIVE:
            await cluster.start(name)
        self.assertEqual(await cluster.read("b2"), (9, b"nine"))
        await cluster.until(lambda: cluster.running["c1"].closed == {"a-x"})

    @with_cluster(*FIVE)
    async def test_restarted_host_confirms_nothing_before_it_hears_a_leader(
        self, cluster
    ):
        """Symptom: a route was refused with 404 though its change had been accepted.
        Sequence: a host is restarted and reads its snapshot; an entry host asks it
        before any leader has told which later entries were agreed.
        Cause: the snapshot's document was given out as the newest."""
        await cluster.put("a1", 1)
        await cluster.stop("c1")
        PartitionablePeers.cut = {"c1"}
        await cluster.start("c1")
        await curio.sleep(0.3)
        self.assertIsNone(cluster.running["c1"].confirmed_age())
        PartitionablePeers.cut = set()
        await cluster.until(lambda: cluster.running["c1"].confirmed_age() is not None)
        self.assertEqual(cluster.running["c1"].document.version, 1)


async def answer_candidate(set_up, storage="other", trial=True, unled=True):
    """Return what a voter that has lost its leader answers to the next candidate.

    Args:
        set_up: Called with the voter and its ballot before the question.
        storage: The candidate's.
        trial: As of the request.
        unled: As of the request.
    """
    async with SeededCluster("a1", "b1", "c1") as cluster:
        await cluster.put("a1", 1)
        for name in ("b1", "c1"):
            await cluster.stop(name)
        voter = cluster.running["a1"]._voter
        async with voter.lock:
            log = voter.log
            await voter.step_down(log.term)
            voter.last_contact_at = float("inf")
            vote_handler = VoteHandler(voter)
            set_up(voter, vote_handler)
            request = VoteRequest(
                log.identity.cluster,
                log.term + 1,
                storage,
                log.last_index,
                log.last_term,
                trial,
                unled,
            )
            return await vote_handler.answer(request)


class TestEarlyElection(unittest.TestCase):
    @params((False, True, True), (True, True, False), (False, False, False))
    def test_votes_that_are_not_withheld(self, has_heard, unled, granted):
        """A restarted voter doesn't know what it has promised a leader. Only where
        every voter says that none leads, and it has heard none, it votes at once."""

        def set_up(voter, vote_handler):
            voter.has_leader_contact = has_heard

        reply = curio.run(answer_candidate, set_up, "other", False, unled)
        self.assertEqual(reply.granted, granted)

    @params(
        # gave a vote, seconds ago; stands itself; candidate's storage; granted, leads
        (None, False, "zz", True, False),
        (0.0, False, "zz", False, True),
        (5.0, False, "zz", True, False),
        (None, True, "zz", False, True),
        (None, True, "00", True, False),
    )
    def test_an_election_that_is_under_way_is_not_disturbed(
        self, voted, stands, candidate, granted, leads
    ):
        """Symptom: after a kill of the whole core it takes 2 s longer some times.
        Sequence: all voters have just started; one is elected, and before its first
        message is heard, another stands in the next term and deposes it.
        Cause: voters that had just voted, or stood themselves, voted again at once."""

        def set_up(voter, vote_handler):
            voter.has_leader_contact = False
            voter.is_early_candidate = stands
            if voted is not None:
                vote_handler.granted_at = monotonic() - voted

        reply = curio.run(answer_candidate, set_up, candidate)
        self.assertEqual((reply.granted, reply.leads), (granted, leads))


if __name__ == "__main__":
    unittest.main()
