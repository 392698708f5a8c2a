"""Who waits, who is refused, and in which order waiting requests start."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy import Admission, Home, Refused
from bronzepoint_node.policy._waiting import Waiter, WaitingLine
from bronzepoint_schema.generated.catalogue import EntryClass
from tests._policy_fakes import request, target

POOL = frozenset({"a"})


class FakeTargets:
    """A number of slots; a request that is placed takes one."""

    def __init__(self, free):
        self.free = free
        self.started = []

    def place_for(self, req):
        def place(ahead):
            if self.free <= 0 or ahead >= 1:
                return None
            self.free -= 1
            self.started.append(req.request_id)
            return Home(target("a"), [], "")

        return place


class Scene:
    """Requests at one host with slots that free up one by one."""

    def __init__(self, free=0, drain=0.1, queue_limit=1000):
        self.targets = FakeTargets(free)
        self.admission = Admission(queue_limit, Metrics(None))
        self.drain = drain
        self.answers = {}

    async def send(self, req):
        placed = await self.admission.admit(
            req, POOL, self.targets.place_for(req), lambda: self.drain, 0.05
        )
        self.answers[req.request_id] = placed
        if isinstance(placed, Home):
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
            scene = Scene()
            tasks = await scene.queue(requests)
            await scene.free_slots(requests)
            for task in tasks:
                await task.join()
            return scene.targets.started

        return curio.run(main)

    def test_flood_by_one_owner(self):
        """One organisation's flood delays everyone.

        A hundred of its requests wait when another organisation's three arrive. In
        order of arrival those would start last.
        """
        flood = numbered("flood", 100)
        others = numbered("other", 3)
        started = self.order([*flood, *others])
        places = [started.index(req.request_id) for req in others]
        self.assertLessEqual(max(places), 6)

    def test_share_weighs(self):
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

    def test_ahead_counts_what_fairness_lets_go_first(self):
        line = WaitingLine()
        for req in numbered("flood", 50):
            line.add(Waiter(req, 0.0))
        self.assertEqual(line.ahead(Waiter(request("other"), 1.0)), 1.0)
        self.assertEqual(line.ahead(Waiter(request("flood"), 1.0)), 50.0)


class TestRefusals(unittest.TestCase):
    def test_unreachable_deadline_is_refused_at_once(self):
        """A caller waits for its whole deadline and then gets nothing.

        The line is longer than its deadline when it arrives, so that this is known
        at once.
        """

        async def main():
            scene = Scene(drain=1.0)
            waiting = await scene.queue(numbered("acme", 5, deadline_left=60.0))
            late = request(request_id="late", deadline_left=2.0)
            # No slot frees up: that it returns at all shows that it did not wait.
            await scene.send(late)
            for task in waiting:
                await task.cancel()
            return scene.answers["late"]

        refused = curio.run(main)
        self.assertEqual(refused.kind, "deadline_unreachable")
        self.assertAlmostEqual(refused.retry_after, 4.05, delta=0.2)

    def test_low_worth_goes_first(self):
        async def main():
            scene = Scene(drain=0.5)
            low = request("acme", request_id="low", worth=1.0, deadline_left=1.3)
            tasks = await scene.queue([low])
            high = numbered("acme", 2, worth=5.0, deadline_left=60.0)
            tasks += await scene.queue(high)
            while "low" not in scene.answers:
                await curio.sleep(0.001)
            started = list(scene.targets.started)
            for task in tasks:
                await task.cancel()
            return scene.answers["low"], started

        refused, started = curio.run(main)
        self.assertEqual((refused.kind, started), ("overloaded", []))
        self.assertGreater(refused.retry_after, 0)

    def test_queue_limit(self):
        async def main():
            scene = Scene(queue_limit=2, drain=0.001)
            tasks = await scene.queue(numbered("acme", 2))
            await scene.send(request(request_id="third"))
            for task in tasks:
                await task.cancel()
            return scene.answers["third"], scene.admission.queued("chat")

        refused, left = curio.run(main)
        self.assertEqual((refused.kind, left), ("overloaded", 0))

    def test_forwarded_request_does_not_wait(self):
        async def main():
            scene = Scene()
            await scene.send(request(request_id="f", forwarded=True))
            return scene.answers["f"]

        self.assertEqual(curio.run(main).kind, "overloaded")

    def test_caller_that_leaves_takes_no_slot(self):
        """A slot is given to a caller that has gone, and the next one waits on."""

        async def main():
            scene = Scene()
            requests = numbered("acme", 2)
            tasks = await scene.queue(requests)
            await tasks[0].cancel()
            scene.targets.free = 1
            await scene.admission.ended(POOL, "nobody")
            await tasks[1].join()
            return scene.targets.started

        self.assertEqual(curio.run(main), ["acme1"])

    def test_free_slot_is_taken_at_once(self):
        async def main():
            scene = Scene(free=1)
            await scene.send(request(request_id="one"))
            return scene.answers["one"]

        self.assertNotIsInstance(curio.run(main), Refused)
