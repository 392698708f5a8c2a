"""Reading a damaged log returns complete appends from its start, or raises an error."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from bronzepoint_common.storage import RecordLog, StorageCorrupt
from tests._fuzzing import fuzz

BATCHES = st.lists(
    st.lists(st.binary(max_size=30), min_size=1, max_size=3), min_size=1, max_size=4
)


class DamagedLog(unittest.TestCase):
    def write(self, folder: str, batches: list[list[bytes]]) -> tuple[Path, list[int]]:
        """Write a log; return its path, and its size after each append."""
        log = RecordLog(Path(folder), "log")
        log.open()
        sizes = []
        for batch in batches:
            log.append(batch)
            sizes.append(log.size)
        log.close()
        return log.path, sizes

    def read(self, path: Path) -> list[bytes]:
        log = RecordLog(path.parent, "log")
        try:
            return log.open()
        finally:
            log.close()

    @fuzz
    @given(BATCHES, st.integers(0))
    def test_truncated(self, batches, cut):
        """Guards against a host that loses accepted records after a crash.

        The process is killed during an append and only a part of the last frame is on
        the disk; reading then stops too early or continues in the partial frame.
        """
        with tempfile.TemporaryDirectory() as folder:
            path, sizes = self.write(folder, batches)
            cut %= sizes[-1] + 1
            path.write_bytes(path.read_bytes()[:cut])
            whole = sum(size <= cut for size in sizes)
            expected = [record for batch in batches[:whole] for record in batch]
            self.assertEqual(self.read(path), expected)
            self.assertEqual(self.read(path), expected)

    @fuzz
    @given(BATCHES, st.integers(0), st.integers(1, 255))
    def test_one_changed_byte(self, batches, at, change):
        """Guards against a voter that votes or serves without some of its records.

        A byte in the middle of the log is corrupted and the process restarts; the
        records after the damage are mistaken for a torn write and dropped.
        """
        with tempfile.TemporaryDirectory() as folder:
            path, sizes = self.write(folder, batches)
            at %= sizes[-1]
            content = bytearray(path.read_bytes())
            content[at] ^= change
            path.write_bytes(content)
            before = [record for batch in batches[:-1] for record in batch]
            if len(sizes) == 1 or at >= sizes[-2]:
                # Damage to the last frame can't be distinguished from a torn write.
                self.assertEqual(self.read(path), before)
                return
            with self.assertRaises(StorageCorrupt):
                self.read(path)
