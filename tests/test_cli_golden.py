"""Command-line sessions with a fake host, compared with golden files.

``BRONZEPOINT_GOLDEN=write make test TEST_OPTIONS=tests.test_cli_golden`` rewrites the
files; review the difference before committing it.
"""

import os
import re
import unittest
from pathlib import Path

from nose2.tools import params

from bronzepoint_schema.generated import admin, agreement, catalogue, decisions, orders
from tests._command_line import run_command
from tests._fake_host import FakeHost, Reply

GOLDEN = Path(__file__).resolve().parent / "golden" / "cli"
WRITE = os.environ.get("BRONZEPOINT_GOLDEN") == "write"

PHRASEBOOK = catalogue.ModelEntry(
    name="phrasebook",
    owner="saphan",
    entry_class=catalogue.EntryClass.interactive,
    version=3,
    targets=[catalogue.Target("engine-1", "bkk", "bkk-a", "127.0.0.1:7001")],
)
HOSTS = admin.HostsAnswer(
    "bkk-1",
    [
        admin.HostStatus(
            "sgp-1", "sgp", "sgp-a", "10.0.0.2:8080", "suspect", 0.5, 6, False
        ),
        admin.HostStatus(
            "bkk-1", "bkk", "bkk-a", "10.0.0.1:8080", "live", 0.25, 7, True
        ),
    ],
)
TARGETS = admin.TargetsAnswer(
    "bkk-1",
    [
        admin.TargetStatus(
            "saved", "store-1", "bkk", "leaving", leaving_by=["operator", "host_list"]
        ),
        admin.TargetStatus("phrasebook", "engine-1", "bkk", "ready", 2, 5, 1, 0.84),
    ],
)
STATUS = admin.StatusAnswer(
    "bkk-1", "bkk", "live", True, 7, 0.2, "leader", 4, "bkk-1", ["bkk-1"], 3, True
)
STATUS.voter_states = [
    admin.VoterState("bkk-1", "aa", "aa", 12, 0),
    admin.VoterState("sgp-1", "bb", "cc", 3, 0.4),
]
STATUS.failure = "the disk of the log is full; free some space and restart"
COUNTERS = admin.CountersAnswer(
    "bkk-1", {"retry.connect_failed": 2, "refusal.overloaded": 5}, {"in_progress": 3}
)
OVERLOADED = decisions.Refusal(
    decisions.RefusalKind.overloaded,
    "all targets of 'phrasebook' are full",
    "send again after the time given",
    decisions.Ran.no,
    2.5,
    "bkk-1.bkk.0192",
)
CONFLICT = decisions.Refusal(
    decisions.RefusalKind.conflict,
    "model 'phrasebook' is at version 4 by operator 'ben'",
    "read it and apply version 5",
    decisions.Ran.no,
)
NOT_FOUND = decisions.Refusal(
    decisions.RefusalKind.not_found,
    "no host of bkk has a record of bkk-1.bkk.0193",
    "check the id; records are kept for a bounded time",
    decisions.Ran.no,
)
ORDERS = orders.OrdersStatus(
    True,
    5,
    engines=[
        orders.EngineProgress(
            "engine-1", "bkk", orders.EnginePhase.loading, "2", "1", "since 3 s"
        )
    ],
)
WHY = decisions.WhyAnswer(
    "bkk-1.bkk.0192",
    [
        decisions.DecisionRecord(
            request_id="bkk-1.bkk.0192",
            host="bkk-1",
            region="bkk",
            arrived=1_700_000_000.25,
            caller="stall-app",
            owner="saphan",
            entry="phrasebook",
            revision=7,
            home="bkk",
            candidates=[
                decisions.Candidate("engine-1", "bkk", 0.75, None, "wait 0.75 s"),
                decisions.Candidate(
                    "engine-2", "bkk", 0, decisions.ExclusionReason.leaving, "by list"
                ),
            ],
            choice="engine-1",
            reason="shortest expected wait",
            tries=[
                decisions.Try(
                    "engine-1", "bkk", 0.001, decisions.TryResult.answered, 0.8
                )
            ],
            outcome=decisions.Outcome.answered,
            status=200,
            notes=["limits: 3 of 10 in progress"],
            duration=0.81,
        )
    ],
    [decisions.MissingPart("sgp-1", "sgp", "no answer", "ask again")],
)

REPLIES = {
    "GET /v1/hosts": admin.DirectoryAnswer([], 5),
    "GET /v1/admin/hosts": HOSTS,
    "GET /v1/admin/targets": TARGETS,
    "GET /v1/admin/status": STATUS,
    "POST /v1/admin/init": STATUS,
    "GET /v1/admin/counters": COUNTERS,
    "GET /v1/admin/catalogue": admin.CatalogueAnswer("bkk-1", 7, 0.2, [PHRASEBOOK]),
    "GET /v1/admin/catalogue/model/phrasebook": admin.ItemAnswer(
        "bkk-1", 7, PHRASEBOOK
    ),
    "POST /v1/admin/changes": agreement.Accepted("c", 8, 4),
    "GET /v1/why/bkk-1.bkk.0192": WHY,
}
STREAM = [
    b'data: {"choices":[{"delta":{"content":"Ran k\xc3',
    b'\xa0a"}}]}\n\ndata: {"choices":[{"delta":{"content":" yaa"}}]}\n\n',
    b"data: [DONE]\n\n",
]
ITEM = '{"kind": "model", "name": "phrasebook", "owner": "saphan"}'

# Name of the golden file, arguments, standard input, replies that override REPLIES.
SESSIONS = (
    ("hosts", ["hosts"], "", {}),
    ("hosts_json", ["hosts", "--json"], "", {}),
    ("targets", ["targets"], "", {}),
    ("targets_of_entry", ["targets", "--entry", "saved"], "", {}),
    ("counters", ["counters", "refusal"], "", {}),
    ("counters_json", ["counters", "--json"], "", {}),
    ("status", ["cluster", "status", "--each"], "", {}),
    ("init", ["cluster", "init"], "", {}),
    ("drain_unknown", ["drain", "fra-1"], "", {}),
    ("list", ["catalogue", "list"], "", {}),
    ("show", ["catalogue", "show", "model", "phrasebook"], "", {}),
    ("apply", ["catalogue", "apply", "-"], ITEM, {}),
    ("remove", ["catalogue", "remove", "model", "phrasebook"], "", {}),
    (
        "apply_conflict",
        ["catalogue", "apply", "-"],
        ITEM,
        {"POST /v1/admin/changes": Reply(decisions.ErrorBody(CONFLICT), 409)},
    ),
    ("apply_bad_json", ["catalogue", "apply", "-"], "{", {}),
    ("apply_unknown_key", ["catalogue", "apply", "-"], ITEM[:-1] + ', "x": 1}', {}),
    ("apply_twice", ["catalogue", "apply", "-"], f"[{ITEM}, {ITEM}]", {}),
    ("apply_no_file", ["catalogue", "apply", "none.json"], "", {}),
    ("why", ["why", "bkk-1.bkk.0192"], "", {}),
    (
        "why_unknown",
        ["why", "bkk-1.bkk.0193"],
        "",
        {"GET /v1/why/bkk-1.bkk.0193": Reply(decisions.ErrorBody(NOT_FOUND), 404)},
    ),
    ("why_json", ["why", "bkk-1.bkk.0192", "--json"], "", {}),
    (
        "send",
        ["send", "phrasebook", "Where is the pharmacy?"],
        "",
        {"POST /v1/chat/completions": Reply(stream=STREAM)},
    ),
    (
        "send_refused",
        ["send", "phrasebook", "Where?"],
        "",
        {"POST /v1/chat/completions": Reply(decisions.ErrorBody(OVERLOADED), 503)},
    ),
    (
        "send_cut",
        ["send", "phrasebook", "Where?"],
        "",
        {"POST /v1/chat/completions": Reply(stream=STREAM[:2], cut=True)},
    ),
    (
        "send_no_end",
        ["send", "phrasebook", "Where?"],
        "",
        {"POST /v1/chat/completions": Reply(stream=STREAM[:2])},
    ),
    (
        "send_service",
        ["send", "saved", "{}", "--path", "/phrases", "--method", "post"],
        "",
        {"POST /v1/services/saved/phrases": Reply({"saved": 1})},
    ),
    (
        "send_service_error",
        ["send", "saved", "--path", "/none"],
        "",
        {"GET /v1/services/saved/none": Reply({"no": "such phrase"}, 404)},
    ),
    (
        "send_target_error",
        ["send", "phrasebook", "Where?"],
        "",
        {"POST /v1/chat/completions": Reply({"error": "out of memory"}, 500)},
    ),
    ("send_no_prompt", ["send", "phrasebook"], "", {}),
    ("orders", ["orders"], "", {"GET /v1/admin/orders": Reply(ORDERS)}),
    ("unreadable", ["hosts"], "", {"GET /v1/admin/hosts": Reply([1])}),
    ("error_page", ["hosts"], "", {"GET /v1/admin/hosts": Reply("oops", 502)}),
    ("unknown_option", ["hosts", "--nope"], "", {}),
    ("no_client_file", ["--client", "none.ini", "hosts"], "", {}),
)


def hosts_at(address: str) -> admin.HostsAnswer:
    """Return a host list in which the leader has the fake host's address."""
    leader = admin.HostStatus("bkk-1", "bkk", "bkk-a", address, "live")
    return admin.HostsAnswer("bkk-1", [leader])


def mask(text: str, address: str) -> str:
    """Replace text that differs between runs."""
    text = text.replace(address, "10.0.0.1:8080")
    return re.sub(r"[0-9a-f]{8}-?([0-9a-f]{4}-?){3}[0-9a-f]{12}", "<uuid>", text)


class GoldenSessions(unittest.TestCase):
    maxDiff = None

    @params(*SESSIONS)
    def test_session(self, name, arguments, given, replies):
        prepared = {route: [Reply(body)] for route, body in REPLIES.items()}
        prepared |= {route: [reply] for route, reply in replies.items()}
        host = FakeHost(prepared).start()
        self.addCleanup(host.close)
        if name == "orders":
            prepared["GET /v1/admin/hosts"] = [Reply(hosts_at(host.address))]
        done = run_command(*arguments, hosts=host.address, given=given)
        shown = f"$ bronzepoint {' '.join(arguments)}\n{done.out}"
        if done.err:
            shown += f"-- standard error\n{done.err}"
        shown = mask(shown + f"-- exit status {done.status}\n", host.address)
        path = GOLDEN / f"{name}.txt"
        if WRITE:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(shown, encoding="utf-8")
        self.assertEqual(shown, path.read_text(encoding="utf-8"))

    def test_no_unused_golden_file(self):
        expected = {f"{name}.txt" for name, *_ in SESSIONS}
        self.assertEqual({path.name for path in GOLDEN.glob("*")}, expected)
