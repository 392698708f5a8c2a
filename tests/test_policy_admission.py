"""Tests of queueing, refusal and the start order of waiting requests."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy import Admission, LocalPlacement, Refused
from bronzepoint_node.policy._waiting import QueuedRequest, RequestQueue
from bronzepoint_schema.generated.catalogue import EntryClass
from tests._policy_fakes import request, target

POOL = frozenset({"a"})


class FakeTargets:
    """A number of free slots; each placed request takes one."""

    def __init__(self, free):
        self.free = free
        self.started = []

    def place_for(self, req):
        def place(ahead):
            if self.free <= 0 or ahead >= 1:
                return None
            self.free -= 1
            self.started.append(req.request_id)
            return LocalPlacement(target("a"), [], "")

        return place


class Harness:
    """Admission of one host whose slots are freed one at a time."""

    def __init__(self, free=0, start_interval=0.1, queue_limit=1000):
        self.targets = FakeTargets(free)
        self.admission = Admission(queue_limit, Metrics(None))
        self.start_interval = start_interval
        self.answers = {}

    async def send(self, req):
        placed = await self.admission.admit(
            req, POOL, self.targets.place_for(req), lambda: self.start_interval, 0.05
        )
        self.answers[req.request_id] = placed
        if isinstance(placed, LocalPlacement):
            self.admission.started(POOL, req.owner)

    async def queue(self, requests):
        tasks = []
        for req in requests:
            tasks.append(await curio.spawn(self.send, req))
            await curio.sleep(0)
        return tasks

    async def free_slots(self, requests):
        """Free one slot after the other until all have been answered."""
        while len(self.answers) < len(requests):
            self.targets.free = 1
            await self.admission.ended(POOL, "nobody")
            await curio.sleep(0.001)


def numbered(owner, count, prefix=None, **fields):
    prefix = prefix or owner
    return [request(owner, request_id=f"{prefix}{i}", **fields) for i in range(count)]


class TestOrder(unittest.TestCase):
    def order(self, requests):
        async def main():
            harness = Harness()
            tasks = await harness.queue(requests)
            await harness.free_slots(requests)
            for task in tasks:
                await task.join()
            return harness.targets.started

        return curio.run(main)

    def test_flood_by_one_owner(self):
        """A burst of one organisation must not delay the requests of others.

        A hundred of its requests are queued when another organisation's three arrive.
        In order of arrival those three would start last.
        """
        flood = numbered("flood", 100)
        others = numbered("other", 3)
        started = self.order([*flood, *others])
        places = [started.index(req.request_id) for req in others]
        self.assertLessEqual(max(places), 6)

    def test_starts_are_proportional_to_shares(self):
        started = self.order(
            [*numbered("small", 20), *numbered("large", 20, share=3.0)]
        )
        large = sum(1 for name in started[:12] if name.startswith("large"))
        self.assertEqual(large, 9)

    @params(
        ({"entry_class": EntryClass.batch}, {"entry_class": EntryClass.interactive}),
        ({"worth": 1.0}, {"worth": 9.0}),
    )
    def test_ranks(self, low, high):
        started = self.order(
            [*numbered("acme", 5, "low", **low), *numbered("acme", 5, "high", **high)]
        )
        self.assertEqual(started[:5], [f"high{i}" for i in range(5)])

    def test_ahead_counts_requests_that_fairness_serves_first(self):
        queue = RequestQueue()
        for req in numbered("flood", 50):
            queue.add(QueuedRequest(req, 0.0))
        self.assertEqual(queue.ahead(QueuedRequest(request("other"), 1.0)), 1.0)
        self.assertEqual(queue.ahead(QueuedRequest(request("flood"), 1.0)), 50.0)


class TestRefusals(unittest.TestCase):
    def test_unreachable_deadline_is_refused_at_once(self):
        """A caller must not wait until its deadline for a certain refusal.

        On arrival the expected wait in the queue is already longer than its deadline.
        """

        async def main():
            harness = Harness(start_interval=1.0)
            waiting = await harness.queue(numbered("acme", 5, deadline_left=60.0))
            late = request(request_id="late", deadline_left=2.0)
            # No slot is freed, so the return shows that the request did not wait.
            await harness.send(late)
            for task in waiting:
                await task.cancel()
            return harness.answers["late"]

        refused = curio.run(main)
        self.assertEqual(refused.kind, "deadline_unreachable")
        self.assertAlmostEqual(refused.retry_after, 4.05, delta=0.2)

    def test_lowest_worth_is_evicted_first(self):
        async def main():
            harness = Harness(start_interval=0.5)
            low = request("acme", request_id="low", worth=1.0, deadline_left=1.3)
            tasks = await harness.queue([low])
            high = numbered("acme", 2, worth=5.0, deadline_left=60.0)
            tasks += await harness.queue(high)
            while "low" not in harness.answers:
                await curio.sleep(0.001)
            started = list(harness.targets.started)
            for task in tasks:
                await task.cancel()
            return harness.answers["low"], started

        refused, started = curio.run(main)
        self.assertEqual((refused.kind, started), ("overloaded", []))
        self.assertGreater(refused.retry_after, 0)

    def test_queue_limit(self):
        async def main():
            harness = Harness(queue_limit=2, start_interval=0.001)
            tasks = await harness.queue(numbered("acme", 2))
            await harness.send(request(request_id="third"))
            for task in tasks:
                await task.cancel()
            return harness.answers["third"], harness.admission.queued("chat")

        refused, left = curio.run(main)
        self.assertEqual((refused.kind, left), ("overloaded", 0))

    def test_forwarded_request_does_not_wait(self):
        async def main():
            harness = Harness()
            await harness.send(request(request_id="f", forwarded=True))
            return harness.answers["f"]

        self.assertEqual(curio.run(main).kind, "overloaded")

    def test_cancelled_request_takes_no_slot(self):
        """A free slot must not be lost on a cancelled request that was queued."""

        async def main():
            harness = Harness()
            requests = numbered("acme", 2)
            tasks = await harness.queue(requests)
            await tasks[0].cancel()
            harness.targets.free = 1
            await harness.admission.ended(POOL, "nobody")
            await tasks[1].join()
            return harness.targets.started

        self.assertEqual(curio.run(main), ["acme1"])

    def test_free_slot_is_taken_at_once(self):
        async def main():
            harness = Harness(free=1)
            await harness.send(request(request_id="one"))
            return harness.answers["one"]

        self.assertNotIsInstance(curio.run(main), Refused)
