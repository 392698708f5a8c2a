"""Bounded size of the messages that bring a lagging host up to date.

Guards against requests that are too large for their timeout. A voter that was isolated
while thirty-two items of 200 KB changed was sent 6.4 MB in one request. Its answer came
after the timeout of 0.75 s and was dropped, so the same request was repeated without
end. A host that follows the catalogue was sent up to 256 changes of any size, with a
timeout of 0.6 s.
"""

import tempfile
import unittest
from pathlib import Path

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.batches import BATCH_BYTES, first_batch
from bronzepoint_common.call_pacing import AdaptiveTimeout
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.agreement._leadership import Leadership, Progress
from bronzepoint_node.agreement._voter import Voter
from bronzepoint_node.catalogue._held import HeldCatalogue
from bronzepoint_schema.generated.agreement import (
    Change,
    ChangeBody,
    Delta,
    LogEntry,
    Put,
)
from bronzepoint_schema.generated.catalogue import Limits, OwnerItem
from bronzepoint_schema.generated.settings import AgreementSection

LARGE = 200_000
"""Bytes of a large item."""


def put(number, size):
    return Put(OwnerItem(name=f"o{number}" + "x" * size, version=1, limits=Limits()))


def entry(index, size):
    body = ChangeBody(Change(f"id-{index}", "op", 1, put(index, size)))
    return LogEntry(index, 1, 0.0, body)


def size_of(message):
    return len(msgspec.msgpack.encode(message))


class TestBatch(unittest.TestCase):
    @params(([], 0), ([1], 1), ([10] * 5, 5), ([LARGE], 1), ([10, LARGE, 10], 1))
    def test_batch_is_bounded_and_never_empty(self, sizes, count):
        items = [b"x" * size for size in sizes]
        self.assertEqual(first_batch(items), items[:count])


class TestRequestOfALeader(unittest.TestCase):
    @params((32, LARGE, 1), (32, 100, 32))
    def test_voter_far_behind_receives_bounded_requests(self, log_size, size, count):
        async def request(folder):
            voter = Voter(
                "a", folder, ["a"], AgreementSection(), None, None, Metrics(), None
            )
            await voter.log.open()
            await voter.log.append([entry(i, size) for i in range(1, log_size + 1)])
            progress = Progress("b", "s", 1, AdaptiveTimeout(1.0, 2.0))
            found = Leadership(voter, 1)._next_request(progress)
            await voter.log.close()
            return found

        with tempfile.TemporaryDirectory() as folder:
            found = curio.run(request, Path(folder))
        self.assertEqual([e.index for e in found.entries], list(range(1, count + 1)))
        self.assertLess(size_of(found), max(2 * BATCH_BYTES, size + 1000))


class TestFollowingHost(unittest.TestCase):
    @params((200, LARGE), (200, 100))
    def test_host_far_behind_catches_up_in_bounded_batches(self, count, size):
        async def follow():
            ahead, behind = HeldCatalogue(None), HeldCatalogue(None)
            changes = [Delta(number, put(number, size)) for number in range(1, count)]
            self.assertTrue(await ahead.advance(changes))
            while behind.revision < ahead.revision:
                deltas = ahead.deltas_after(behind.revision)
                self.assertLess(size_of(deltas), max(2 * BATCH_BYTES, size + 1000))
                self.assertTrue(await behind.advance(deltas))
            self.assertEqual(behind.items, ahead.items)

        curio.run(follow)


if __name__ == "__main__":
    unittest.main()
