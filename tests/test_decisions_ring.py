"""The size-limited store of segments, and the selection of backups."""

import unittest
from collections import Counter
from dataclasses import dataclass

from nose2.tools import params

from bronzepoint_node.decisions import (
    SegmentRing,
    backup_order,
    new_request_id,
    parse_request_id,
    record_key,
    seal,
)
from bronzepoint_node.decisions._backups import choose_backups
from bronzepoint_schema.generated.settings import HostSection


@dataclass
class FakeHost:
    name: str
    data_center: str = "a"
    region: str = "bkk"
    state: str = "live"


def segment(key, now, size=2000):
    # Text that hardly compresses, so that the segments have about the given size.
    text = "".join(chr(33 + (key * 7919 + i * i * 31) % 90) for i in range(size))
    return seal([key], [b"\xda" + size.to_bytes(2, "big") + text.encode()], now)


class RingTest(unittest.TestCase):
    def test_size_is_limited_by_dropping_the_oldest(self):
        ring = SegmentRing(max_bytes=20_000, keep=1000.0)
        for key in range(100):
            ring.add(segment(key, float(key)))
            self.assertLessEqual(ring.size, 20_000)
        self.assertEqual(ring.find(0), [])
        self.assertEqual(len(ring.find(99)), 1)
        self.assertLess(ring.records, 100)

    def test_age_is_limited(self):
        ring = SegmentRing(max_bytes=10**6, keep=10.0)
        ring.add(segment(1, 100.0))
        ring.add(segment(2, 105.0))
        ring.expire(111.0)
        self.assertEqual((ring.find(1), len(ring.find(2))), ([], 1))
        self.assertEqual(ring.records, 1)

    def test_same_key_is_found_in_every_segment(self):
        ring = SegmentRing(max_bytes=10**6, keep=10.0)
        ring.add(segment(1, 100.0, 50))
        ring.add(segment(1, 101.0, 60))
        self.assertEqual(len(ring.find(1)), 2)


class BackupOrderTest(unittest.TestCase):
    def test_load_is_even_over_the_slots(self):
        hosts = [FakeHost(f"h{i}") for i in range(30)]
        chosen = Counter(
            backup_order(hosts, "h0", slot)[0].name for slot in range(2900)
        )
        self.assertNotIn("h0", chosen)
        self.assertEqual(len(chosen), 29)
        self.assertLess(max(chosen.values()), 150)

    @params("a", "b", "c")
    def test_copy_goes_to_another_data_center(self, data_center):
        """Guards against losing original and copy in a data center's failure.

        The backup must also be among the first hosts that a lookup queries, which may
        not know the data center of the host that made the record.
        """
        hosts = [FakeHost(f"{dc}{i}", dc) for dc in "abc" for i in range(10)]
        recorder = HostSection(f"{data_center}0", "bkk", data_center)
        for slot in range(200):
            backup = choose_backups(hosts, recorder, slot)[0]
            self.assertNotEqual(backup.data_center, data_center)
            queried = backup_order(hosts, recorder.name, slot)[:3]
            self.assertIn(backup, queried)

    def test_dead_and_draining_hosts_get_no_copies(self):
        hosts = [FakeHost("h1", state="dead"), FakeHost("h2", state="draining")]
        hosts.append(FakeHost("h3"))
        recorder = HostSection("h0", "bkk", "a")
        chosen = choose_backups(hosts, recorder, 7)
        self.assertEqual([host.name for host in chosen], ["h3"])

    def test_id_names_host_region_and_time(self):
        first, second = new_request_id("bkk-1", "bkk"), new_request_id("bkk-1", "bkk")
        self.assertNotEqual(record_key(first), record_key(second))
        parts = parse_request_id(first)
        self.assertEqual((parts.host, parts.region), ("bkk-1", "bkk"))
