"""The platform's list as a host of the core keeps it."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.core import ListUnavailable, TargetReader
from bronzepoint_schema.generated.fleet import TargetInfo


def target(name="i-1", cold_ms=0, leaving=False):
    return TargetInfo(name, "s", "10.0.0.1:80", "a", 4, leaving, cold_ms)


async def read_once(read, wait):
    reader = TargetReader("h", read)
    await reader.start()
    await curio.sleep(wait)
    listed = reader.newest()
    await reader.close()
    return listed


class TestTargetReader(unittest.TestCase):
    @params((0, 0.0), (0, 0.2), (1500, 0.0), (1500, 0.2))
    def test_cold_time_counts_from_the_answer(self, cold_ms, delay):
        """Symptom: a cold target got 7 requests in a second, one more than allowed.
        Sequence: a host is cut off and asks for the list; the answer comes a second
        late, when the cut heals; it says how long the target stays cold from then.
        Cause: that time was counted from the question."""

        async def read():
            await curio.sleep(delay)
            until.append(monotonic() + cold_ms / 1000)
            return [target(cold_ms=cold_ms)]

        until = []
        listed = curio.run(read_once, read, delay + 0.1)
        (info,) = listed.targets
        cold_until = monotonic() - listed.age_ms / 1000 + info.cold_ms / 1000
        if cold_ms:
            self.assertGreaterEqual(cold_until, until[0] - 0.01)
        else:
            self.assertEqual(info.cold_ms, 0)

    def test_a_list_that_can_not_be_read_leaves_the_former_one(self):
        answers = [[target("i-1")], None, None]

        async def read():
            found = answers.pop(0) if answers else None
            if found is None:
                raise ListUnavailable("it answered 429")
            return found

        listed = curio.run(read_once, read, 0.1)
        self.assertEqual([t.incarnation for t in listed.targets], ["i-1"])

    @params(
        ([target()], [target()], False),
        ([target(cold_ms=900)], [target(cold_ms=300)], False),
        ([target(cold_ms=900)], [target()], True),
        ([target()], [target(leaving=True)], True),
        ([target()], [target("i-2")], True),
    )
    def test_only_what_lasts_makes_a_new_number(self, first, second, changes):
        reader = TargetReader("h", None)
        reader._take(first, monotonic())
        before = reader.newest().number
        reader._take(second, monotonic())
        self.assertEqual(reader.newest().number > before, changes)


if __name__ == "__main__":
    unittest.main()
