"""Invalid settings files: each fault names file, section, key and remedy."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from nose2.tools import params

from bronzepoint_common.settings import (
    AddressError,
    SettingsError,
    SettingsErrorGroup,
    load_settings,
    parse_settings,
    split_address,
)

GOOD = """
[host]
name = bkk-1
region = bkk
data_center = bkk-a

[listen]
http = 127.0.0.1:8001
peer = 127.0.0.1:9001

[cluster]
key = abababababababababababababababababababababababababababababababab

[peer sgp-1]
region = sgp
data_center = sgp-a
http = 127.0.0.1:8002
peer = 127.0.0.1:9002

[caller stall]
token = stall-token
owner = saphan
home = bkk

[operator ann]
token = ann-token-1
"""

# Text to replace in the valid file and its replacement; then section, key, problem and
# remedy of the only fault that must be reported.
FAULTS = (
    ("name = bkk-1", "", "host", "name", "is missing", "add 'name"),
    ("name = bkk-1", "name = b k", "host", "name", "can't be a name", "letters"),
    (
        "name = bkk-1",
        "name = bkk-1\nnme = x",
        "host",
        "nme",
        "is not a known key",
        "'name'",
    ),
    ("name = bkk-1", "name = bkk-1\nname = x", "host", "name", "twice", "keep one"),
    ("name = bkk-1", "name = bkk-1\nvoter = yes", "host", "voter", "yes", "true or"),
    (
        "name = bkk-1",
        "name = bkk-1\nvoter = true",
        "host",
        "data_folder",
        "voter needs",
        "set data_folder",
    ),
    ("name = bkk-1", "name = bkk-1\n???", "", "", "at line", "key = value"),
    ("[host]\n", "", "", "", "before any section", "[host]"),
    (
        "[caller",
        "[agrement]\n[caller",
        "agrement",
        "",
        "not a known section",
        "'agreement'",
    ),
    ("[listen]", "[host]", "host", "", "twice", "merge"),
    (
        "[peer sgp-1]",
        "[DEFAULT]\na = b\n[peer sgp-1]",
        "DEFAULT",
        "",
        "not a known section",
        "",
    ),
    ("127.0.0.1:8001", "localhost:8001", "listen", "http", "IP number", "IP address"),
    ("127.0.0.1:8001", "127.0.0.1", "listen", "http", "no port", "port"),
    ("127.0.0.1:8001", "127.0.0.1:70000", "listen", "http", "not a port", "port"),
    ("127.0.0.1:8001", "0.0.0.0:8001", "listen", "http", "names no host", "reach"),
    ("127.0.0.1:8001", "127.0.0.1:9001", "listen", "peer", "already", "its own"),
    ("127.0.0.1:9002", "127.0.0.1:0", "peer sgp-1", "peer", "port 0", "listens on"),
    ("key = abab", "key = xyxy", "cluster", "key", "regex", "64 hex digits"),
    ("[peer sgp-1]", "[peer bkk-1]", "peer bkk-1", "", "this host itself", "remove"),
    ("[peer sgp-1]", "[peer]", "peer", "", "no name", "[peer NAME]"),
    ("[peer sgp-1]", "[peer a/b]", "peer a/b", "", "can't be a name", "letters"),
    (
        "data_center = sgp-a",
        "data_center = bkk-a",
        "peer sgp-1",
        "data_center",
        "elsewhere",
        "one region",
    ),
    ("home = bkk", "home = fra", "caller stall", "home", "no host", "bkk, sgp"),
    ("token = stall-token", "token = short", "caller stall", "token", "length", "8"),
    ("ann-token-1", "stall-token", "operator ann", "token", "also", "its own"),
    ("ann-token-1", "ställ-token", "operator ann", "token", "header", "ASCII"),
    ("[caller", "[agreement]\nlease = 0\n[caller", "agreement", "lease", "'0'", "abov"),
    ("[caller", "[agreement]\nlease = nan\n[caller", "agreement", "lease", "nan", ""),
    ("[caller", "[agreement]\nlease = inf\n[caller", "agreement", "lease", "inf", ""),
    (
        "[caller",
        "[http]\nidle_timeout = inf\n[caller",
        "http",
        "idle_timeout",
        "inf",
        "",
    ),
    (
        "[caller",
        "[agreement]\nlease = 1.5\n[caller",
        "agreement",
        "lease",
        "not below election_timeout = 1.2",
        "raise election_timeout",
    ),
    (
        "[caller",
        "[membership]\nsuspect_after = 6\n[caller",
        "membership",
        "suspect_after",
        "not below dead_after",
        "lower",
    ),
    ("[caller", "[http]\nmax_head = 9\n[caller", "http", "max_head", "'9'", "1024"),
    ("[caller", "[http]\nmax_head = 9k\n[caller", "http", "max_head", "9k", "whole"),
    ("[caller", "[log]\nlevel = loud\n[caller", "log", "level", "loud", "debug, info"),
    ("[caller", "[metrics]\nstatsd = x:1\n[caller", "metrics", "statsd", "x", "IP"),
)


def read_faults(text: str) -> list[SettingsError]:
    """Return the faults that parsing reports."""
    try:
        parse_settings(text, "host.ini")
    except SettingsErrorGroup as group:
        return list(group.exceptions)
    return []


class FaultTable(unittest.TestCase):
    def test_good_file_has_no_fault(self):
        settings = parse_settings(GOOD)
        self.assertEqual(settings.host.name, "bkk-1")
        self.assertEqual(settings.peers["sgp-1"].region, "sgp")
        self.assertEqual(settings.agreement.lease, 0.8)

    @params(*FAULTS)
    def test_fault_names_place_and_remedy(self, old, new, section, key, problem, fix):
        self.assertIn(old, GOOD)
        faults = read_faults(GOOD.replace(old, new, 1))
        self.assertEqual(len(faults), 1, [str(fault) for fault in faults])
        fault = faults[0]
        self.assertEqual(fault.file, "host.ini")
        self.assertEqual((fault.section, fault.key), (section, key))
        self.assertIn(problem, fault.problem)
        self.assertIn(fix, fault.remedy)

    def test_all_faults_are_reported_at_once(self):
        text = GOOD.replace("home = bkk", "hme = bkk").replace("region = bkk\n", "")
        keys = {(fault.section, fault.key) for fault in read_faults(text)}
        expected = {("caller stall", "hme"), ("caller stall", "home")}
        self.assertEqual(keys, expected | {("host", "region")})

    def test_misspelt_section_is_unknown_and_missing(self):
        faults = read_faults(GOOD.replace("[listen]", "[lsten]"))
        found = [(fault.section, fault.problem) for fault in faults]
        expected = [
            ("lsten", "is not a known section"),
            ("listen", "the section is missing"),
        ]
        self.assertEqual(found, expected)

    def test_secrets_stay_out_of_errors(self):
        text = GOOD.replace("key = abab", "key = xyab").replace("stall-token", "s3cret")
        shown = " ".join(str(fault) for fault in read_faults(text))
        self.assertNotIn("s3cret", shown)
        self.assertNotIn("xyab", shown)


class UnreadableFiles(unittest.TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def assert_fault(self, path: Path, problem: str):
        with self.assertRaises(SettingsErrorGroup) as caught:
            load_settings(path)
        (fault,) = caught.exception.exceptions
        self.assertEqual(fault.file, str(path))
        self.assertIn(problem, fault.problem)

    def test_missing_file(self):
        self.assert_fault(self.folder / "none.ini", "No such file")

    def test_folder_in_place_of_file(self):
        self.assert_fault(self.folder, "Is a directory")

    def test_other_encoding(self):
        path = self.folder / "latin.ini"
        path.write_bytes(b"[host]\nname = caf\xe9\n")
        self.assert_fault(path, "byte 17 is not UTF-8")

    def test_data_folder_is_a_file(self):
        path = self.folder / "host.ini"
        line = f"name = bkk-1\ndata_folder = {path}"
        path.write_text(GOOD.replace("name = bkk-1", line))
        self.assert_fault(path, "is a file")


class Addresses(unittest.TestCase):
    @params(
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("[::1]:65535", ("::1", 65535)),
        ("10.0.0.1:0", ("10.0.0.1", 0)),
    )
    def test_good(self, text, expected):
        self.assertEqual(split_address(text), expected)

    @params("", ":", "::1:80", "1.2.3:80", "1.2.3.4:", "1.2.3.4:-1", "1.2.3.4:٣")
    def test_bad(self, text):
        with self.assertRaises(AddressError):
            split_address(text)
