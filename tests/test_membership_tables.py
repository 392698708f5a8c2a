"""Merging of membership data and failure detection, with a fake clock."""

import time
import unittest
from random import Random

from nose2.tools import params

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.membership import HostInfo, HostState, RunningClock
from bronzepoint_node.membership._heartbeat import (
    HeartbeatFlag,
    expand_revision,
    make_heartbeat,
    make_host_id,
    pack_heartbeats,
    unpack_heartbeats,
)
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._notice_table import NOTICE_LIFETIME, NoticeTable
from bronzepoint_node.membership._partners import Partners
from bronzepoint_node.membership._region_table import INCOMPLETE, RegionTable
from bronzepoint_schema.generated.membership import (
    HostRecord,
    RegionReport,
    TargetNotice,
)


class Clock:
    def __init__(self) -> None:
        self.seconds = 100.0

    def __call__(self) -> float:
        return self.seconds


def make_record(name: str, incarnation: int = 1000) -> HostRecord:
    return HostRecord(name, "bkk", "dc", f"{name}:80", f"{name}:90", incarnation)


class TestHostTable(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        running = RunningClock(1.5, self.clock)
        self.table = HostTable(make_record("a"), running, 0.5, 2.0, 5.0, 60.0)
        self.table.merge_records([make_record("b")])

    def pass_time(self, seconds: float) -> None:
        """Advance the clock, with a round every half second."""
        for _ in range(round(seconds * 2)):
            self.clock.seconds += 0.5
            self.table.update_own_heartbeat(0.0, 0, HeartbeatFlag.NONE)

    def receive_heartbeat(
        self, counter: int, incarnation: int = 1000, flags: int = 0
    ) -> None:
        host_id = make_host_id("b", incarnation)
        heartbeat = make_heartbeat(host_id, counter, 7, 0.5, HeartbeatFlag(flags))
        self.table.merge_heartbeats([heartbeat])

    @params((1.0, "live"), (3.0, "suspect"), (9.0, "dead"))
    def test_state_after_time_without_heartbeat(
        self, seconds: float, state: str
    ) -> None:
        self.receive_heartbeat(1)
        self.pass_time(seconds)
        self.assertEqual(self.table.info("b").state, state)

    def test_repeated_heartbeat_does_not_keep_a_host_live(self) -> None:
        """A repeated last heartbeat of a dead host must not keep it live.

        Gossip delivers it many times. Only an advance of the counter shows that the
        host is live, not the arrival of a message about it.
        """
        self.receive_heartbeat(4)
        for _ in range(20):
            self.pass_time(0.5)
            self.receive_heartbeat(4)
        self.assertEqual(self.table.info("b").state, HostState.dead)

    def test_others_stay_live_after_this_process_was_stopped(self) -> None:
        """A process that was stopped must not consider all other hosts dead.

        After SIGSTOP, a minute and SIGCONT, the monotonic clock shows that no host
        sent a heartbeat for a minute, because this process did not run. Its directory
        would list only itself.
        """
        self.receive_heartbeat(1)
        self.pass_time(0.5)
        self.clock.seconds += 60.0
        self.assertEqual(self.table.info("b").state, HostState.live)
        self.pass_time(9.0)
        self.assertEqual(self.table.info("b").state, HostState.dead)

    def test_new_incarnation_replaces_the_old_one(self) -> None:
        self.receive_heartbeat(900)
        self.table.merge_records([make_record("b", 2000)])
        self.receive_heartbeat(1, incarnation=2000)
        self.table.merge_records([make_record("b", 1000)])
        self.receive_heartbeat(901, incarnation=1000)
        info = self.table.info("b")
        self.assertEqual((info.incarnation, info.state), (2000, HostState.live))

    def test_own_earlier_incarnation_with_a_later_clock_is_superseded(self) -> None:
        """The clock of this host was set back between two starts.

        Its new incarnation is the lower number, so the others would keep the earlier
        one, get no heartbeat of it and consider the running host dead.
        """
        self.table.merge_records([make_record("a", 9000)])
        self.assertEqual(self.table.own.incarnation, 9001)
        own = make_host_id("a", 9001)
        self.assertIn(
            own, [heartbeat.host_id for heartbeat in self.table.recent_heartbeats()]
        )

    def test_removed_host_returns_only_with_a_new_heartbeat(self) -> None:
        self.receive_heartbeat(5)
        self.pass_time(70.0)
        self.assertEqual(self.table.remove_dead(), ["b"])
        self.table.merge_records([make_record("b")])
        self.receive_heartbeat(5)
        self.assertIsNone(self.table.info("b"))
        self.receive_heartbeat(6)
        self.assertEqual(self.table.info("b").state, HostState.live)

    def test_flags(self) -> None:
        self.receive_heartbeat(
            1, flags=HeartbeatFlag.DRAINING | HeartbeatFlag.RUN_ONCE_READY
        )
        info = self.table.info("b")
        self.assertEqual((info.state, info.run_once_ready), ("draining", True))
        self.receive_heartbeat(2, flags=HeartbeatFlag.LEFT)
        self.assertEqual(self.table.info("b").state, HostState.dead)

    def test_record_of_unknown_heartbeat_is_requested(self) -> None:
        heartbeat = make_heartbeat(make_host_id("c", 1), 1, 0, 0.0, HeartbeatFlag.NONE)
        self.assertEqual(self.table.merge_heartbeats([heartbeat]), [heartbeat.host_id])


class TestPulse(unittest.TestCase):
    def test_packed_and_unpacked(self) -> None:
        heartbeat = make_heartbeat(7, 2**31, 70_000, 9.0, HeartbeatFlag.LEFT)
        self.assertEqual(unpack_heartbeats(pack_heartbeats([heartbeat])), [heartbeat])
        self.assertEqual((heartbeat.revision, heartbeat.load), (70_000 - 65_536, 255))

    def test_truncated_bytes_are_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "another version"):
            unpack_heartbeats(b"123")

    @params((5, 3, 5), (65_535, 65_537, 65_535), (2, 65_535, 65_538), (9, 0, 9))
    def test_revision(self, low: int, near: int, whole: int) -> None:
        self.assertEqual(expand_revision(low, near), whole)


class TestRegionTable(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RegionTable(RunningClock(1e9), 5.0)

    def report(self, sequence: int, hosts_sequence: int, listed: bool) -> RegionReport:
        hosts = [make_record(f"h{hosts_sequence}")] if listed else []
        return RegionReport("bkk", sequence, 3, hosts_sequence, hosts)

    def test_older_report_never_replaces_a_newer_one(self) -> None:
        self.table.merge(self.report(9, 9, listed=True))
        self.assertFalse(self.table.merge(self.report(8, 8, listed=True)))
        self.assertEqual(self.table.hosts("bkk")[0].name, "h9")

    def test_missed_list_is_requested(self) -> None:
        """A report with a changed list is lost, and the next one has no list.

        The newer sequence number would make the sender assume that the list has
        arrived, and requests would be forwarded to hosts that were replaced.
        """
        self.table.merge(self.report(5, 5, listed=True))
        self.table.merge(self.report(7, 6, listed=False))
        self.assertEqual(self.table.sequences(), {"bkk": INCOMPLETE})
        self.table.merge(self.report(7, 6, listed=True))
        self.assertEqual(self.table.sequences(), {"bkk": 7})
        self.assertEqual(self.table.hosts("bkk")[0].name, "h6")

    def test_list_is_sent_only_where_it_is_missing(self) -> None:
        self.table.merge(self.report(5, 5, listed=True))
        self.table.merge(self.report(8, 5, listed=False))
        for known, listed in ((INCOMPLETE, 1), (4, 1), (6, 0)):
            [report] = self.table.newer_reports({"bkk": known})
            self.assertEqual(len(report.hosts), listed)
        self.assertEqual(self.table.newer_reports({"bkk": 8}), [])


class TestNoticeTable(unittest.TestCase):
    @params(
        (True, 10, False, 9, True),
        (True, 10, False, 10, True),
        (False, 10, True, 10, True),
        (True, 10, False, 11, False),
    )
    def test_newest_notice_wins(
        self, first: bool, at: float, second: bool, later: float, leaving: bool
    ) -> None:
        now = time.time()
        table = NoticeTable()
        table.merge([TargetNotice("t", first, now + at)])
        table.merge([TargetNotice("t", second, now + later)])
        [notice] = table.all()
        self.assertIs(notice.leaving, leaving)

    def test_old_notice_is_not_taken(self) -> None:
        """A notice from before a partition must not be applied after it heals.

        The target may have returned since. Without expiry, a notice that no host
        renews would remain as long as one host holds it, and a working target would
        get no requests.
        """
        table = NoticeTable()
        old = TargetNotice("t", True, time.time() - 2 * NOTICE_LIFETIME)
        self.assertEqual(table.merge([old]), [])


class TestRendezvous(unittest.TestCase):
    def test_removal_keeps_the_order_of_other_names(self) -> None:
        names = [f"host-{i}" for i in range(30)]
        before = rendezvous_order("key", names)
        after = rendezvous_order("key", [n for n in names if n != before[0]])
        self.assertEqual(after, before[1:])


class TestPartners(unittest.TestCase):
    def setUp(self) -> None:
        self.partners = Partners(Random(3))
        self.infos = {
            name: HostInfo(name, "bkk", "dc", "", HostState.live) for name in "bcdefgh"
        }

    def rounds(self, count: int) -> list[list[str]]:
        others = list(self.infos.values())
        return [self.partners.next(others, 0.5) for _ in range(count)]

    def test_each_host_is_contacted_in_rotation(self) -> None:
        chosen = [name for names in self.rounds(7) for name in names]
        self.assertEqual(sorted(chosen), list("bcdefgh"))

    def test_unresponsive_host_is_contacted_directly_but_not_every_round(self) -> None:
        """A healthy host whose heartbeats take a long path must not be suspected.

        One direct exchange gets its heartbeat, without waiting for gossip.
        """
        self.infos["e"].silent_for = 2.0
        contacted = [names == ["e"] for names in self.rounds(9)]
        self.assertTrue(contacted[0])
        self.assertLess(contacted.count(True), 6)

    def test_dead_hosts_are_contacted_periodically(self) -> None:
        for name in "bcd":
            self.infos[name].state = HostState.dead
        counts = [len(names) for names in self.rounds(8)]
        self.assertEqual(counts, [1, 1, 1, 2, 1, 1, 1, 2])
