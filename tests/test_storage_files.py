"""Append-only log and snapshot after crashes and disk errors."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from bronzepoint_common.storage import (
    RecordLog,
    SnapshotFile,
    StorageCorrupt,
    StorageFailed,
    StorageFull,
    StorageInUse,
)


class StorageCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def open(self):
        log = RecordLog(self.folder, "log")
        records = log.open()
        self.addCleanup(log.close)
        return log, records

    def write(self, *batches):
        log, _ = self.open()
        for batch in batches:
            log.append(batch)
        log.close()
        return log.path


class TestRecordLog(StorageCase):
    def test_records_come_back_in_order(self):
        self.write([b"a", b"b"], [], [b"c"])
        self.assertEqual(self.open()[1], [b"a", b"b", b"c"])

    def test_rewrite_replaces_all_and_appends_continue(self):
        log, _ = self.open()
        log.append([b"old"] * 50)
        log.rewrite([b"new"])
        log.append([b"next"])
        log.close()
        self.assertEqual(self.open()[1], [b"new", b"next"])

    @params(1, 12, 23, 24, 27)
    def test_torn_last_write_is_dropped_whole(self, kept):
        """A power loss during the second append leaves an incomplete frame."""
        path = self.write([b"first"])
        sound = path.stat().st_size
        self.write([b"second", b"third"])
        os.truncate(path, sound + kept)
        log, records = self.open()
        self.assertEqual((records, log.dropped), ([b"first"], kept))
        log.append([b"again"])
        log.close()
        self.assertEqual(self.open()[1], [b"first", b"again"])

    def test_zeroed_tail_is_dropped(self):
        """The file was extended on disk, but its last pages were never written."""
        path = self.write([b"first"])
        with open(path, "ab") as file:
            file.write(bytes(4096))
        self.assertEqual(self.open()[1], [b"first"])

    @params(0, 4, 8, 16, 30)
    def test_damage_in_the_middle_is_an_error(self, offset):
        """A flipped bit in an acknowledged record must not truncate the log.

        Otherwise a voter would lose entries that it has acknowledged.
        """
        path = self.write([b"first"], [b"second"])
        content = bytearray(path.read_bytes())
        content[offset] ^= 0x40
        path.write_bytes(content)
        with self.assertRaisesRegex(StorageCorrupt, "Remedy"):
            self.open()

    def test_missing_frame_is_an_error(self):
        path = self.write([b"first"])
        size = path.stat().st_size
        self.write([b"other"], [b"third"])
        content = path.read_bytes()
        path.write_bytes(content[:size] + content[2 * size :])
        with self.assertRaises(StorageCorrupt):
            self.open()

    def test_second_process_is_refused(self):
        self.open()
        with self.assertRaisesRegex(StorageInUse, "data_folder"):
            RecordLog(self.folder, "log").open()

    def test_failed_sync_stops_the_log(self):
        """A retry after a failed sync may succeed although the data is lost."""
        log, _ = self.open()
        with mock.patch("os.fdatasync", side_effect=OSError(5, "I/O error")):
            with self.assertRaises(StorageFailed):
                log.append([b"lost"])
        with self.assertRaises(StorageFailed):
            log.append([b"behind the hole"])

    def test_crash_during_rewrite_leaves_the_old_content(self):
        log, _ = self.open()
        log.append([b"old"])
        with mock.patch("os.replace", side_effect=OSError(28, "no space")):
            with self.assertRaises(StorageFailed):
                log.rewrite([b"new"])
        log.close()
        self.assertEqual(self.open()[1], [b"old"])

    def test_folder_is_synced_after_create_and_rename(self):
        """Without syncing the folder, a power loss can remove the new file."""
        synced = []
        real = os.fsync

        def record(descriptor):
            synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))
            real(descriptor)

        with mock.patch("os.fsync", side_effect=record):
            log, _ = self.open()
            self.assertEqual(synced, [str(self.folder)])
            log.rewrite([b"new"])
        self.assertEqual(synced[1:], [f"{log.path}.new", str(self.folder)])


class TestFullDisk(StorageCase):
    """Guards against files that can't be written any more after the disk was full."""

    def full_write(self, written):
        def write(descriptor, content):
            os.pwrite(descriptor, bytes(content[:written]), self.sound)
            raise OSError(errno.ENOSPC, "no space")

        return mock.patch("os.write", side_effect=write)

    @params(0, 10, 40)
    def test_append_without_room_leaves_the_log_as_it_was(self, written):
        path = self.write([b"first"])
        log, _ = self.open()
        self.sound = path.stat().st_size
        with self.full_write(written), self.assertRaises(StorageFull):
            log.append([b"second" * 10])
        self.assertEqual(path.stat().st_size, self.sound)
        log.append([b"third"])
        log.close()
        self.assertEqual(self.open()[1], [b"first", b"third"])

    def test_rewrite_without_room_leaves_the_log_as_it_was(self):
        path = self.write([b"first"])
        log, _ = self.open()
        self.sound = 0
        with self.full_write(10), self.assertRaises(StorageFull):
            log.rewrite([b"second"])
        self.assertEqual([p.name for p in path.parent.glob("*.new")], [])
        log.append([b"third"])
        log.close()
        self.assertEqual(self.open()[1], [b"first", b"third"])

    def test_save_without_room_takes_no_room(self):
        snapshot = SnapshotFile(self.folder, "state")
        snapshot.save(b"old")
        self.sound = 0
        with self.full_write(10), self.assertRaises(StorageFull):
            snapshot.save(b"new")
        self.assertEqual(os.listdir(self.folder), ["state.snapshot"])
        self.assertEqual(snapshot.load(), b"old")


class TestSnapshotFile(StorageCase):
    def test_saved_value_comes_back(self):
        snapshot = SnapshotFile(self.folder, "state")
        self.assertIsNone(snapshot.load())
        snapshot.save(b"one")
        snapshot.save(b"two")
        self.assertEqual(snapshot.load(), b"two")

    @params(0, 10, -1)
    def test_bad_checksum_is_an_error(self, offset):
        snapshot = SnapshotFile(self.folder, "state")
        snapshot.save(b"value")
        content = bytearray(snapshot.path.read_bytes())
        content[offset] ^= 1
        snapshot.path.write_bytes(content)
        with self.assertRaisesRegex(StorageCorrupt, "Remedy"):
            snapshot.load()

    def test_failed_save_keeps_the_old_value(self):
        snapshot = SnapshotFile(self.folder, "state")
        snapshot.save(b"old")
        with mock.patch("os.fsync", side_effect=OSError(28, "no space")):
            with self.assertRaises(StorageFailed):
                snapshot.save(b"new")
        self.assertEqual(snapshot.load(), b"old")
