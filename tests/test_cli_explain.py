"""Tests of building and explaining a request's timeline from logs of several hosts."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_cli.explain import (
    REFUSALS,
    TRY_ENDS,
    build_timeline,
    find_cause,
    read_log_lines,
)
from bronzepoint_node.placement import RejectReason
from tests._command_line import run_command
from tests.test_operations_page import reasons

ID = "req-1"
TARGET = "i-1@10.1.0.9:80: least expected loss"


def line(at, host, message, **fields):
    """Return an encoded log line; ``at`` is in seconds within one minute."""
    values = {"time": f"2026-01-01T00:00:{at:06.3f}+00:00", "level": "info"}
    return json.dumps({**values, "host": host, "message": message, **fields})


def request(at, outcome, tries=(), host="a1", request=ID, **fields):
    values = {"route": "r", "outcome": outcome, "sends": len(tries), "seconds": 0.5}
    values |= {"objective": 1.0, "max_gap": 0.3, "first_event": 0.1, "gap": 0.1}
    values |= {"forwarded": False, **fields}
    return line(at, host, "request", request=request, tries=list(tries), **values)


def catalogue(at, host, version):
    return line(at, host, "catalogue in force", version=version)


def cause(*lines):
    return find_cause(build_timeline(ID, read_log_lines(lines, ID)))


class TestCause(unittest.TestCase):
    @params(
        ([], "no host wrote a line of it: it reached none of them, or its host was"),
        ([request(9, "refused_no_room")], "not run: no target of its region and no ot"),
        ([line(9, "a1", "refused", request=ID, reason="leaving")], "not run: the host"),
        ([request(9, "deadline")], "its time was over before there was room for it"),
        (
            [request(9, "deadline", [f"{TARGET} -> timeout"])],
            "its time was over before the answer was whole; before that, no answer",
        ),
        (
            [request(9, "may_have_run", [f"{TARGET} -> cut, ended"])],
            "the connection broke after it was sent, so it may have run; no further",
        ),
        (
            [
                request(9, "may_have_run", [f"{TARGET} -> cut"]),
                line(9.002, "a1", "target crashed", target="i-1", runs=7, early=2),
            ],
            "its target crashed; no further run brought it",
        ),
        (
            [
                request(9, "may_have_run", [f"{TARGET} -> cut"]),
                line(9.002, "a1", "target crashed", target="i-2", runs=7, early=2),
            ],
            "the connection broke after it was sent, so it may have run; no further",
        ),
        (
            [
                request(9, "stream_broken", [f"{TARGET} -> cut_in_event"]),
                line(9.002, "a1", "target crashed", target="i-1", runs=7, early=2),
            ],
            "its target crashed; no further run brought it",
        ),
        (
            [request(9, "stream_broken", [f"{TARGET} -> cut_in_event"])],
            "the stream ended inside an event, so the rest of it was missing; no furt",
        ),
        ([request(9, "refused_held")], "not run: targets crashed as they ran it, and"),
        (
            [request(9, "stream_broken", [f"{TARGET} -> lost", "b1 -> answered"])],
            "the target or host fell silent; no further run brought it",
        ),
        (
            [request(9, "answered", [f"{TARGET} -> answered"], first_event=1.4)],
            "late: its first answer took 1.4 s of 1",
        ),
        (
            [
                request(
                    9,
                    "answered",
                    [f"{TARGET} -> rejected_503"] * 2 + [f"{TARGET} -> answered"],
                    gap=0.7,
                )
            ],
            "late: a pause of 0.7 s, where 0.3 are allowed; before that, the target "
            "turned it away (2 times)",
        ),
        ([request(9, "answered_500")], "the target answered 500"),
        ([request(9, "answered")], "answered in time"),
        ([request(9, "caller_left")], "the caller closed its connection"),
        (
            [
                line(8.9, "a1", "event loop late", seconds=0.7, cpu_seconds=0.7),
                request(9, "caller_left"),
            ],
            "the caller closed its connection; its host did nothing for 0.7 s "
            "meanwhile, busy with one task",
        ),
        (
            [
                line(8.9, "a1", "event loop late", seconds=0.7, cpu_seconds=0.0),
                request(9, "deadline"),
            ],
            "its time was over before there was room for it; its host did nothing for "
            "0.7 s meanwhile, held up from outside",
        ),
        (
            [line(9, "a1", "no route", request=ID, version=3)],
            "version 3 has no such route, and no host had a newer one",
        ),
        (
            [
                catalogue(4, "a2", 5),
                catalogue(6, "a3", 5),
                line(9, "a1", "no route", request=ID, version=3),
            ],
            "the host served on version 3, while a2 had version 5 since 5.0 s before",
        ),
    )
    def test_cause_is_one_line(self, lines, expected):
        found = cause(*lines)
        self.assertTrue(found.startswith(expected), found)
        self.assertNotIn("\n", found)

    def test_cause_is_taken_from_the_host_that_answered(self):
        found = cause(
            request(9, "refused_no_room"),
            request(8.9, "answered", host="b1", forwarded=True),
        )
        self.assertTrue(found.startswith("not run"), found)

    @params(*RejectReason)
    def test_every_refusal_reason_is_explained(self, reason):
        self.assertIn(reason, REFUSALS)

    def test_every_end_of_a_try_is_explained(self):
        self.assertEqual({r.rstrip("_") for r in reasons()} - set(TRY_ENDS), set())


class TestTimeline(unittest.TestCase):
    def build(self, *lines):
        return build_timeline(ID, read_log_lines(lines, ID))

    def test_lines_of_any_host_about_the_fingerprint_are_included(self):
        """Guards against missing the reason of a refusal that another host logged."""
        lines = [
            line(8.0, "core-1", "request held back", fingerprint="f", crashes=3),
            line(8.0, "core-1", "request held back", fingerprint="g", crashes=3),
            request(9, "refused_held", fingerprint="f"),
        ]
        timeline = self.build(*lines)
        self.assertEqual([b.fields["fingerprint"] for b in timeline.beliefs], ["f"])

    def test_part_that_blocked_the_request_is_included(self):
        """Guards against a refusal that doesn't show which prompt part it is for."""
        lines = [
            line(8.0, "core-1", "prompt part held back", fingerprint="+s/p", crashes=3),
            line(8.0, "core-1", "prompt part held back", fingerprint="+s/q", crashes=3),
            request(9, "refused_held", tries=["held back: +s/p"]),
        ]
        timeline = self.build(*lines)
        self.assertEqual([b.fields["fingerprint"] for b in timeline.beliefs], ["+s/p"])
        self.assertIn("(by +s/p)", find_cause(timeline))

    def test_other_requests_and_other_text_are_ignored(self):
        timeline = self.build(
            "not a log line",
            '{"host": 1',
            request(8.9, "answered", request="another"),
            "  9.1 a1 " + request(9, "answered"),
        )
        self.assertEqual([part.host for part in timeline.parts], ["a1"])
        self.assertEqual(timeline.beliefs, [])

    def test_state_changes_of_its_hosts_and_targets_are_included(self):
        timeline = self.build(
            catalogue(1, "a1", 2),
            catalogue(1, "b1", 4),
            line(8, "a1", "collector of loads", collector="a2"),
            line(8, "b1", "collector of loads", collector="b2"),
            line(8, "b1", "no report", target="i-1"),
            line(8, "b1", "no report", target="i-2"),
            line(9.5, "a1", "collector of loads", collector="a3"),
            request(9, "answered", [f"{TARGET} -> answered"]),
        )
        shown = [(b.message, b.host) for b in timeline.beliefs]
        expected = [
            ("catalogue in force", "a1"),
            ("collector of loads", "a1"),
            ("no report", "b1"),
        ]
        self.assertEqual(shown, expected)
        self.assertEqual(timeline.newest.fields["version"], 4)

    @params("no report", "catalogue in force")
    def test_timeline_is_limited_in_length(self, message):
        many = [line(8.49 + n / 100, "a1", message, version=9) for n in range(50)]
        timeline = self.build(catalogue(1, "a1", 2), *many, request(9, "answered"))
        # The first line is included only where it gives the catalogue in use.
        expected_count = 51 if message == "no report" else 50
        self.assertEqual(len(timeline.beliefs) + timeline.left_out, expected_count)
        self.assertLessEqual(len(timeline.beliefs), 12)
        self.assertIn(message, [belief.message for belief in timeline.beliefs])
        self.assertEqual(timeline.parts[-1].fields["outcome"], "answered")


class TestCommand(unittest.TestCase):
    LINES = (
        catalogue(1, "a1", 2),
        request(9, "refused_no_room", ["i-1 0/6; homes any; closed ['x-a']"]),
    )

    def run_on(self, *arguments, lines=LINES):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a1.log"
            path.write_text("".join(f"{text}\n" for text in lines))
            return run_command("explain", ID, *arguments, str(path))

    def test_timeline_is_printed_with_its_cause(self):
        done = self.run_on()
        self.assertEqual(done.status, 0, done.err)
        first, *_, last = done.out.splitlines()
        self.assertTrue(first.startswith("TIME"), first)
        self.assertIn("catalogue in force  version 2", done.out)
        self.assertIn("known room          i-1 0/6; homes any; closed", done.out)
        self.assertTrue(last.startswith("cause: not run: no target"), last)

    def test_standard_input_is_read_without_files(self):
        given = "\n".join(self.LINES)
        done = run_command("explain", ID, given=given)
        self.assertEqual(done.out, self.run_on().out)

    def test_json_output(self):
        found = json.loads(self.run_on("--json").out)
        self.assertEqual(found["parts"][0]["fields"]["outcome"], "refused_no_room")
        self.assertTrue(found["cause"].startswith("not run"))

    def test_unknown_request_is_an_error(self):
        done = self.run_on(lines=(catalogue(1, "a1", 2),))
        self.assertEqual(done.status, 1)
        self.assertIn("give the logs of all hosts", done.err)

    def test_missing_file_is_an_error(self):
        done = run_command("explain", ID, "/nowhere.log")
        self.assertEqual(done.status, 2)
        self.assertIn("can't be read", done.err)


if __name__ == "__main__":
    unittest.main()
