"""Tests of reading the command line's connection settings, including faults."""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_cli._errors import ExitCode, UsageFault
from bronzepoint_cli._profile import DEFAULT_TIMEOUT, load_profile

GOOD = "[client]\nhosts = 10.0.0.1:80, 10.0.0.2:80\ntoken = from-file\ntimeout = 5\n"
FAULTS = (
    ("hosts = 10.0.0.1:80, 10.0.0.2:80", "", "no host is given"),
    ("hosts = 10.0.0.1:80, 10.0.0.2:80", "hosts = gateway:80", "IP number"),
    ("hosts = 10.0.0.1:80, 10.0.0.2:80", "hosts = 10.0.0.1", "no port"),
    ("token = from-file", "", "no token is given"),
    ("token =", "tokn =", "tokn: is no key"),
    ("timeout = 5", "timeout = soon", "no number of seconds"),
    ("timeout = 5", "timeout = 0", "no number of seconds"),
    ("timeout = 5", "timeout = inf", "no number of seconds"),
    ("timeout = 5", "timeout = 5\ntimeout = 6", "already exists"),
    ("[client]", "[klient]", "add [client]"),
    ("[client]\n", "", "no section headers"),
)


class ProfileTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "client.ini"

    def load(self, text: str, **options):
        self.path.write_text(text)
        given = {"hosts": "", "token": "", "timeout": None} | options
        return load_profile(**given, client_file=self.path).require()

    def test_file(self):
        profile = self.load(GOOD)
        self.assertEqual(profile.hosts, ["10.0.0.1:80", "10.0.0.2:80"])
        self.assertEqual((profile.token, profile.timeout), ("from-file", 5.0))

    def test_options_override_the_file(self):
        profile = self.load(GOOD, hosts="[::1]:80", token="given", timeout=9.0)
        self.assertEqual(profile.hosts, ["[::1]:80"])
        self.assertEqual((profile.token, profile.timeout), ("given", 9.0))

    def test_no_file(self):
        profile = load_profile("10.0.0.1:80", "given", None, None).require()
        self.assertEqual(profile.timeout, DEFAULT_TIMEOUT)

    @params(*FAULTS)
    def test_fault(self, old, new, problem):
        self.assertIn(old, GOOD)
        with self.assertRaises(UsageFault) as caught:
            self.load(GOOD.replace(old, new, 1))
        self.assertIn(problem, str(caught.exception))
        self.assertIs(caught.exception.code, ExitCode.USAGE)
