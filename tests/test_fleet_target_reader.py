"""The platform's target list on a core host, and its changes for entry hosts."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.core import ListUnavailable, TargetReader
from bronzepoint_schema.generated.fleet import TargetInfo

REGIONS = {"a": "x", "b": "y"}


def target(name="i-1", cold_ms=0, leaving=False, zone="a"):
    return TargetInfo(name, "s", "10.0.0.1:80", zone, 4, leaving, cold_ms)


async def read_once(read, wait):
    reader = TargetReader(read, REGIONS.get)
    await reader.start()
    await curio.sleep(wait)
    listed = reader.newest()
    await reader.close()
    return listed


class TestTargetReader(unittest.TestCase):
    @params((0, 0.0), (0, 0.2), (1500, 0.0), (1500, 0.2))
    def test_cold_time_counts_from_the_answer(self, cold_ms, delay):
        """Guards against overloading a cold target. The list states how long the target
        stays cold from the answer on, but the time was counted from the request. With
        an answer delayed for a second by a network partition, the target got 7 requests
        in a second, one more than allowed."""

        async def read():
            await curio.sleep(delay)
            until.append(monotonic() + cold_ms / 1000)
            return [target(cold_ms=cold_ms)]

        until = []
        listed = curio.run(read_once, read, delay + 0.1)
        (info,) = listed.targets
        cold_until = monotonic() - listed.age + info.cold_ms / 1000
        if cold_ms:
            self.assertGreaterEqual(cold_until, until[0] - 0.01)
        else:
            self.assertEqual(info.cold_ms, 0)

    def test_failed_reading_keeps_the_previous_list(self):
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
    def test_cold_countdown_is_no_change(self, first, second, changes):
        reader = TargetReader(None, REGIONS.get)
        reader._update(first, monotonic())
        known = reader.changes_since("x", "").digest
        reader._update(second, monotonic())
        self.assertEqual(reader.changes_since("x", known) is not None, changes)


class TestChanges(unittest.TestCase):
    """Guards against sending all targets of all regions to every host, and sending them
    again each time that a host changes its core host."""

    def test_host_receives_only_its_region(self):
        reader = TargetReader(None, REGIONS.get)
        remote = [target("i-2", zone="b"), target("i-3", zone="unknown")]
        reader._update([target("i-1"), *remote], monotonic())
        sent = reader.changes_since("x", "")
        self.assertEqual([t.incarnation for t in sent.targets], ["i-1"])

    def test_same_list_read_by_another_host_is_not_sent_again(self):
        readers = [TargetReader(None, REGIONS.get) for _ in range(2)]
        readers[0]._update([target("i-1"), target("i-2")], monotonic())
        readers[1]._update([target("i-2"), target("i-1")], monotonic())
        known = readers[0].changes_since("x", "").digest
        self.assertIsNone(readers[1].changes_since("x", known))

    def test_only_changes_are_sent(self):
        reader = TargetReader(None, REGIONS.get)
        many = [target(f"i-{n}") for n in range(500)]
        reader._update(many, monotonic())
        known = reader.changes_since("x", "").digest
        reader._update([*many[2:], target("i-1", leaving=True)], monotonic())
        sent = reader.changes_since("x", known)
        self.assertEqual(sent.base, known)
        self.assertEqual([t.incarnation for t in sent.targets], ["i-1"])
        self.assertEqual(sent.gone, ["i-0"])

    def test_whole_list_is_sent_for_an_unknown_digest(self):
        reader = TargetReader(None, REGIONS.get)
        reader._update([target()], monotonic())
        self.assertEqual(reader.changes_since("x", "other").base, "")

    def test_region_without_targets_gets_an_empty_list(self):
        reader = TargetReader(None, REGIONS.get)
        reader._update([target()], monotonic())
        sent = reader.changes_since("y", "")
        self.assertEqual((sent.base, sent.targets), ("", []))
        self.assertIsNone(reader.changes_since("y", sent.digest))


if __name__ == "__main__":
    unittest.main()
