"""Claims, outcomes and refusals over a simulated network."""

import time
import unittest
import uuid

import curio
from nose2.tools import params

from bronzepoint_node.run_once import (
    MAX_STORED_BODY,
    Claimed,
    Done,
    Expired,
    InProgress,
    InvalidKey,
    KeyAhead,
    Mismatch,
    StoredAnswer,
    Unavailable,
    Unknown,
)
from tests._run_once_network import DIGEST, Region

ANSWER = StoredAnswer(status=201, body=b"saved", headers={"content-type": "text/plain"})


def key_at(seconds: float = 0.0) -> str:
    """Return a UUIDv7 with a timestamp `seconds` from now."""
    made = round((time.time() + seconds) * 1000).to_bytes(6, "big")
    tail = bytearray(uuid.uuid4().bytes[6:])
    tail[0] = 0x70 | tail[0] & 0x0F
    return str(uuid.UUID(bytes=made + bytes(tail)))


async def claim(region, host, key, digest=DIGEST):
    return await region.hosts[host].claim(key, digest, f"{host}.1")


class ClaimTest(unittest.TestCase):
    def test_resend_to_another_host_gets_the_first_answer(self):
        """A resend through another host after a lost answer must not run again.

        Host a runs the request and records the answer, but the caller does not get
        it and resends through b.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                self.assertIsInstance(first, Claimed)
                self.assertTrue(await region.hosts["a"].confirm(first.token))
                self.assertTrue(await region.hosts["a"].finish(first.token, ANSWER))
                for host in "abc":
                    self.assertEqual(await claim(region, host, key), Done(ANSWER))

        curio.run(main)

    def test_resend_during_the_first_run_is_refused_as_in_progress(self):
        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                self.assertIsInstance(await claim(region, "b", key), InProgress)
                self.assertIsInstance(await claim(region, "a", key), InProgress)
                await region.hosts["a"].finish(first.token, None)
                self.assertEqual(await claim(region, "b", key), Unknown())

        curio.run(main)

    def test_released_key_can_be_claimed_again(self):
        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                self.assertTrue(await region.hosts["a"].release(first.token))
                self.assertFalse(await region.hosts["a"].confirm(first.token))
                second = await claim(region, "b", key)
                self.assertIsInstance(second, Claimed)

        curio.run(main)

    def test_one_of_many_concurrent_claims_succeeds(self):
        """The caller's resends reach all hosts at the same time."""

        async def main():
            async with Region("abcde", copies=5) as region:
                key = key_at()
                async with curio.TaskGroup() as group:
                    for host in "abcde" * 4:
                        await group.spawn(claim, region, host, key)
                kinds = [type(result) for result in group.results]
                self.assertEqual(kinds.count(Claimed), 1)

        curio.run(main)

    def test_other_request_with_the_same_key_is_refused(self):
        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                self.assertEqual(await claim(region, "b", key, b"other"), Mismatch())
                await region.hosts["a"].finish(first.token, ANSWER)
                self.assertEqual(await claim(region, "b", key, b"other"), Mismatch())

        curio.run(main)

    @params(("", InvalidKey), (str(uuid.uuid4()), InvalidKey), ("\0" * 99, InvalidKey))
    def test_key_that_is_not_a_uuid7_is_refused(self, key, error):
        async def main():
            async with Region("a", copies=1) as region:
                with self.assertRaisesRegex(error, "UUIDv7"):
                    await claim(region, "a", key)

        curio.run(main)

    def test_key_of_the_future_is_refused(self):
        async def main():
            async with Region("a", copies=1) as region:
                with self.assertRaisesRegex(KeyAhead, "clock"):
                    await claim(region, "a", key_at(60))

        curio.run(main)

    def test_resend_past_the_lifetime_is_refused_not_run(self):
        """A resend after the record has expired must not run the request again.

        After the key's lifetime every replica has dropped its register, so a claim
        would find no record that the request ran.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                await region.hosts["a"].finish(first.token, ANSWER)
                for clock in region.clocks.values():
                    clock.wall_shift = region.section.lifetime + 1
                await region.wait(
                    lambda: all(not host.registers for host in region.hosts.values())
                )
                self.assertEqual(await claim(region, "b", key), Expired())

        curio.run(main)

    def test_answer_too_large_keeps_its_status(self):
        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                large = StoredAnswer(status=200, body=b"x" * (MAX_STORED_BODY + 1))
                await region.hosts["a"].finish(first.token, large)
                again = await claim(region, "b", key)
                self.assertEqual(again.answer, StoredAnswer(200, b"", complete=False))

        curio.run(main)


class FailureTest(unittest.TestCase):
    def test_restarted_claimant_makes_the_outcome_unknown(self):
        """A claimant that restarts without memory may have dispatched the request.

        Host a claims and restarts; the caller resends through b. Host b must neither
        run the request nor report it as in progress.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                await claim(region, "a", key)
                await region.kill("a")
                await region.boot("a")
                await region.wait(lambda: region.hosts["a"].ready)
                self.assertEqual(await claim(region, "b", key), Unknown())

        curio.run(main)

    def test_unresponsive_claimant_makes_the_outcome_unknown_after_a_bounded_time(self):
        """The host that claimed the request fails and does not restart."""

        async def main():
            async with Region() as region:
                key = key_at()
                await claim(region, "a", key)
                await region.kill("a")
                early = await claim(region, "b", key)
                self.assertIsInstance(early, InProgress)
                self.assertLess(early.retry_after, 10)
                for clock in region.clocks.values():
                    clock.wall_shift = 10
                self.assertEqual(await claim(region, "b", key), Unknown())
                self.assertEqual(await claim(region, "c", key), Unknown())

        curio.run(main)

    def test_partitioned_claimant_records_its_answer_later(self):
        """The answer arrives after the outcome was recorded as unknown.

        The claimant is partitioned, so the other hosts consider it failed.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                region.network.isolate("a")
                for clock in region.clocks.values():
                    clock.wall_shift = 10
                self.assertEqual(await claim(region, "b", key), Unknown())
                self.assertFalse(await region.hosts["a"].finish(first.token, ANSWER))
                region.network.blocked_links.clear()

                async def known():
                    return await claim(region, "b", key) == Done(ANSWER)

                await region.wait(known)

        curio.run(main)

    @params((False,), (True,))
    def test_host_that_resumes_confirms_its_claim(self, given_up):
        """A host that was stopped between claim and dispatch confirms its claim.

        Host a claims and is stopped for longer than others wait. If b has reported
        the outcome as unknown meanwhile, a must not dispatch. If no resend came, its
        claim is still valid.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                first = await claim(region, "a", key)
                region.clocks["a"].elapsed_shift = 10
                if given_up:
                    region.network.isolate("a")
                    region.clocks["b"].wall_shift = 10
                    self.assertEqual(await claim(region, "b", key), Unknown())
                    region.network.blocked_links.clear()
                confirmed = await region.hosts["a"].confirm(first.token)
                self.assertEqual(confirmed, not given_up)

        curio.run(main)

    def test_minority_refuses_and_the_key_stays_claimable(self):
        """A partitioned host refuses the request as not run.

        Another host must then be able to claim the key, although the replica of the
        partitioned host stored its claim.
        """

        async def main():
            async with Region() as region:
                region.network.isolate("a")
                key = key_at()
                self.assertIsInstance(await claim(region, "a", key), Unavailable)
                second = await claim(region, "b", key)
                self.assertIsInstance(second, Claimed)
                await region.hosts["b"].finish(second.token, ANSWER)
                region.network.blocked_links.clear()
                self.assertEqual(await claim(region, "a", key), Done(ANSWER))

        curio.run(main)

    def test_claim_whose_votes_were_lost_is_released(self):
        """All replicas stored a claim, but their votes were lost.

        The claimant refuses the request as not run. If other hosts treated the
        claim as running, the key would be blocked for its whole lifetime.
        """

        async def main():
            async with Region() as region:
                key = key_at()
                stored = {"kind": "vote", "phase": "accept"}
                region.network.should_hold = lambda source, target, message: (
                    target == "a" and stored.items() <= message.items()
                )
                self.assertIsInstance(await claim(region, "a", key), Unavailable)
                self.assertGreaterEqual(len(region.network.held_messages), 2)
                region.network.should_hold = lambda *_: False

                async def claimed():
                    return isinstance(await claim(region, "b", key), Claimed)

                await region.wait(claimed)

        curio.run(main)
