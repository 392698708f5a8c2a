"""Requests that wait for room: who looks for it, and in which order."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement._waiting_line import (
    HEAD_COUNT,
    QueuedRequest,
    RequestQueue,
)


async def looks(line, waiter, seconds):
    """Return how often a waiter was told to look for room, within some seconds."""
    count = 0
    async with curio.ignore_after(seconds):
        while await line.wait(waiter):
            count += 1
    return count


def waiter(arrived, rank=0, patience=60.0):
    return QueuedRequest(rank, arrived, monotonic() + patience)


class TestWaitingLine(unittest.TestCase):
    @params((1, 1), (HEAD_COUNT, HEAD_COUNT), (40, HEAD_COUNT))
    def test_only_the_first_look_for_room(self, count, expected):
        """Symptom: under load a host's streams pause, and its processor is used up.
        Sequence: dozens of requests wait, and each looks for room 33 times a second.
        Cause: the cost of looking grew with the number of those that wait."""

        async def main():
            line = RequestQueue()
            waiters = [waiter(number) for number in range(count)]
            for each in reversed(waiters):
                line.join(each)
            async with curio.TaskGroup() as group:
                tasks = [await group.spawn(looks, line, w, 0.3) for w in waiters]
            return [task.result > 0 for task in tasks]

        looked = curio.run(main)
        self.assertEqual(looked, [number < expected for number in range(count)])

    @params(
        # ranks in order of arrival, and the order in which they look
        ((0, 0, 0), [0, 1, 2]),
        ((1, 0, 1, 0), [1, 3, 0, 2]),
    )
    def test_urgent_ones_go_first_then_those_that_came_first(self, ranks, order):
        async def main():
            line = RequestQueue()
            waiters = [waiter(number, rank) for number, rank in enumerate(ranks)]
            for each in waiters:
                line.join(each)
            return [waiters.index(each) for each in line._queued]

        self.assertEqual(curio.run(main), order)

    def test_next_one_looks_once_another_has_left(self):
        async def main():
            line = RequestQueue()
            waiters = [waiter(number) for number in range(HEAD_COUNT + 1)]
            for each in waiters:
                line.join(each)
            last = await curio.spawn(looks, line, waiters[-1], 0.3)
            await curio.sleep(0.05)
            await line.leave(waiters[0])
            return await last.join(), len(line)

        looked, left = curio.run(main)
        self.assertGreater(looked, 0)
        self.assertEqual(left, HEAD_COUNT)

    def test_one_that_is_never_a_head_looks_at_the_end(self):
        """Symptom: a request is refused though its region has had room for it.
        Sequence: those before it in the line are home-bound, and find no room.
        Cause: it was told that its time is over before it had looked again."""

        async def main():
            line = RequestQueue()
            for number in range(HEAD_COUNT):
                line.join(waiter(number))
            late = waiter(9, patience=0.1)
            line.join(late)
            return await line.wait(late), await line.wait(late)

        self.assertEqual(curio.run(main), (True, False))


if __name__ == "__main__":
    unittest.main()
