"""Timeouts that follow late answers, and pauses between failed attempts."""

import unittest
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common import call_pacing
from bronzepoint_common.call_pacing import AdaptiveTimeout, RetryBackoff
from bronzepoint_schema.generated.settings import AgreementSection
from tests._seeded_cluster import PartitionablePeers, SeededCluster

TIMES = AgreementSection(voters_wanted=5, lease=1.8, election_timeout=2.0)
ONE_WAY = 0.6
"""Seconds that a message takes. An answer takes longer than the timeout of a request,
half the election timeout, and less than a lease."""
MAX_WAIT = 60.0
"""Seconds to wait for a leader, who is elected within a few rounds of messages."""


class SlowPeers(PartitionablePeers):
    """Peers whose messages all take some time, without limiting their number."""

    one_way = 0.0

    async def _accept(self, data, is_first):
        async def accept_late():
            await curio.sleep(self.one_way)
            await super(SlowPeers, self)._accept(data, is_first)

        await curio.spawn(accept_late, daemon=True)


class TestAdaptiveTimeout(unittest.TestCase):
    @params(
        ([], 0.4),
        ([("late", 1.0)], 1.5),
        ([("late", 1.0), ("late", 0.5)], 1.5),
        ([("late", 9.0)], 4.0),
        ([("late", 1.0), ("prompt", 0.6)], 1.2),
        ([("late", 1.0), ("prompt", 0.01)], 0.4),
        ([("prompt", 0.3)], 0.4),
    )
    def test_timeout_follows_late_answers(self, answers, expected):
        """Guards against a host that is called again before it can answer, for ever."""
        timeout = AdaptiveTimeout(0.4, 4.0)
        for kind, seconds in answers:
            record = {"late": timeout.record_late, "prompt": timeout.record_prompt}
            record[kind](seconds)
        self.assertAlmostEqual(timeout.seconds, expected)


class TestRetryBackoff(unittest.TestCase):
    def test_pauses_double_up_to_the_maximum_until_an_attempt_succeeds(self):
        """Guards against hosts that call as often when all fail as when few do."""
        backoff = RetryBackoff(0.1, 0.5)
        with mock.patch.object(call_pacing.random, "uniform", return_value=1.0):
            pauses = [backoff.next() for _ in range(5)]
            backoff.reset()
            pauses.append(backoff.next())
        self.assertEqual(pauses, [0.1, 0.2, 0.4, 0.5, 0.5, 0.1])


class TestSlowAnswers(unittest.TestCase):
    def test_change_is_agreed_though_all_answers_are_late(self):
        """Guards against voters that drop each other's votes and acknowledgements for
        as long as all hosts are busy, and so have no leader."""

        async def main():
            async with SeededCluster("a1", "b1", "c1") as cluster:
                voters = [host._voter for host in cluster.running.values()]
                await cluster.until(lambda: any(v.lease() for v in voters), MAX_WAIT)
                SlowPeers.one_way = ONE_WAY
                agreed = []
                for version in (1, 2):
                    await cluster.until(
                        lambda: cluster.running["a1"].leader(), MAX_WAIT
                    )
                    await cluster.put("a1", version)
                    agreed.append(await cluster.read("a1", MAX_WAIT))
                hosts = cluster.running.values()
                await cluster.until(
                    lambda: all(host.documents.version == 2 for host in hosts),
                    MAX_WAIT,
                )
                return agreed

        self.addCleanup(setattr, SlowPeers, "one_way", 0.0)
        with (
            mock.patch("tests._seeded_cluster.PartitionablePeers", SlowPeers),
            mock.patch("tests._seeded_cluster.TIMES", TIMES),
        ):
            self.assertEqual(curio.run(main), [(1, b"x"), (2, b"x")])


if __name__ == "__main__":
    unittest.main()
