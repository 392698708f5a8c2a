"""Tests of counting why requests failed, from the log lines of entry hosts."""

import json
import tempfile
import unittest

from nose2.tools import params
from tools.lost_worth import cause, lines

LINE = {
    "message": "request",
    "request": "id",
    "outcome": "answered",
    "forwarded": False,
    "tries": ["i-1@10.0.0.1:80: least expected loss -> answered"],
    "seconds": 2.0,
    "first_event": 0.3,
    "gap": 0.2,
    "objective": 1.0,
    "max_gap": 0.6,
    "rank": 1,
}


class TestCause(unittest.TestCase):
    @params(
        ({}, ""),
        ({"first_event": 1.2}, "late: first answer"),
        ({"gap": 0.7}, "late: pause"),
        # Plain service: the time of the complete answer counts, and pauses don't.
        ({"first_event": None, "max_gap": 0.0, "seconds": 0.9}, ""),
        ({"first_event": None, "max_gap": 0.0, "gap": 9.0}, "late: first answer"),
        ({"outcome": "answered_200", "seconds": 0.1, "first_event": None}, ""),
        ({"outcome": "answered_500"}, "answered_500"),
        ({"outcome": "refused_no_room"}, "refused_no_room"),
        ({"outcome": "deadline", "tries": []}, "deadline, untried"),
        ({"outcome": "deadline", "tries": ["i-1: least loss"]}, "deadline, at work"),
        ({"outcome": "stream_broken", "tries": ["i-1 -> cut"]}, "stream_broken, cut"),
    )
    def test_first_cause_that_fits(self, changes, expected):
        self.assertEqual(cause({**LINE, **changes}), expected)

    @params(
        ("  12.5 front-a-1 ", 12.5),
        ("", 0.0),
    )
    def test_lines_of_the_bench_and_of_a_host(self, before, at):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            text = json.dumps(LINE, separators=(",", ":"))
            file.write(f"{before}{text}\nno line of ours\n{before}{{}}\n")
            file.flush()
            found = list(lines(file.name))
        self.assertEqual(
            [(when, line["request"]) for when, line in found], [(at, "id")]
        )
