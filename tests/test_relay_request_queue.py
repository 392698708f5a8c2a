"""Requests that wait for capacity: which ones check for it, and in which order."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement._request_queue import (
    HEAD_COUNT,
    QueuedRequest,
    RequestQueue,
)


async def count_checks(queue, waiter, seconds):
    """Return the number of capacity checks a waiter may make within ``seconds``."""
    count = 0
    async with curio.ignore_after(seconds):
        while await queue.wait(waiter):
            count += 1
    return count


def waiter(arrived, rank=0, max_wait=60.0):
    return QueuedRequest(rank, arrived, monotonic() + max_wait)


class TestRequestQueue(unittest.TestCase):
    @params((1, 1), (HEAD_COUNT, HEAD_COUNT), (40, HEAD_COUNT))
    def test_only_the_first_check_for_capacity(self, count, expected):
        """Guards against a host that spends its processor time on capacity checks, so
        that its streams stall under load.

        Dozens of requests waited, and each one checked 33 times a second. The fault was
        that the cost of the checks grew with the number of waiting requests.
        """

        async def main():
            queue = RequestQueue()
            waiters = [waiter(number) for number in range(count)]
            for each in reversed(waiters):
                queue.join(each)
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(count_checks, queue, w, 0.3) for w in waiters
                ]
            return [task.result > 0 for task in tasks]

        checked = curio.run(main)
        self.assertEqual(checked, [number < expected for number in range(count)])

    @params(
        # ranks in order of arrival, expected order of the checks
        ((0, 0, 0), [0, 1, 2]),
        ((1, 0, 1, 0), [1, 3, 0, 2]),
    )
    def test_order_by_rank_then_by_arrival(self, ranks, order):
        async def main():
            queue = RequestQueue()
            waiters = [waiter(number, rank) for number, rank in enumerate(ranks)]
            for each in waiters:
                queue.join(each)
            return [waiters.index(each) for each in queue.in_order()]

        self.assertEqual(curio.run(main), order)

    def test_next_one_checks_once_another_has_left(self):
        async def main():
            queue = RequestQueue()
            waiters = [waiter(number) for number in range(HEAD_COUNT + 1)]
            for each in waiters:
                queue.join(each)
            last = await curio.spawn(count_checks, queue, waiters[-1], 0.3)
            await curio.sleep(0.05)
            await queue.leave(waiters[0])
            return await last.join(), len(queue)

        checked, left = curio.run(main)
        self.assertGreater(checked, 0)
        self.assertEqual(left, HEAD_COUNT)

    def test_request_never_at_the_head_checks_at_the_end(self):
        """Guards against a request that is refused although its region has had free
        capacity for it.

        The requests before it in the queue are home-bound and find none. The fault was
        that its wait ended without a last check.
        """

        async def main():
            queue = RequestQueue()
            for number in range(HEAD_COUNT):
                queue.join(waiter(number))
            late = waiter(9, max_wait=0.1)
            queue.join(late)
            return await queue.wait(late), await queue.wait(late)

        self.assertEqual(curio.run(main), (True, False))


if __name__ == "__main__":
    unittest.main()
