"""Tests of ``bronzepoint load`` with a fake host: requests sent and counts shown."""

import unittest

import msgspec

from bronzepoint_common.load import arrival_times
from bronzepoint_schema.generated import admin, decisions
from tests._command_line import run_command
from tests._fake_host import FakeHost, Reply

RATE, DURATION, SEED = 50.0, 1.0, 7
SENT = len(list(arrival_times(RATE, DURATION, SEED)))
OPTIONS = ("--rate", f"{RATE}", "--duration", f"{DURATION}", "--seed", f"{SEED}")
CHAT = "POST /v1/chat/completions"
SAVE = "POST /v1/services/saved/phrases"
REFUSED = decisions.ErrorBody(
    decisions.Refusal(
        decisions.RefusalKind.unknown_entry,
        "no such entry",
        "ask an operator",
        decisions.Ran.no,
    )
)


class LoadTest(unittest.TestCase):
    def run_load(self, *arguments: str, **replies: Reply):
        routes = {"chat": CHAT, "save": SAVE}
        prepared = {routes[name]: [reply] for name, reply in replies.items()}
        prepared["GET /v1/hosts"] = [Reply(admin.DirectoryAnswer([], 5))]
        host = FakeHost(prepared).start()
        self.addCleanup(host.close)
        return host, run_command("load", *arguments, *OPTIONS, hosts=host.address)

    def test_table(self):
        stream = [b"data: {}\n\n", b"data: [DONE]\n\n"]
        host, done = self.run_load("phrasebook", chat=Reply(stream=stream))
        self.assertEqual(done.status, 0, done.err)
        self.assertEqual(len(host.sent(CHAT)), SENT)
        self.assertIn(f"sent {SENT} requests", done.out)
        self.assertIn(f"outcomes: answered {SENT}", done.out)
        self.assertIn("P99", done.out)

    def test_refusals_are_counted_by_kind(self):
        _, done = self.run_load("phrasebook", "--json", chat=Reply(REFUSED, 404))
        self.assertEqual(done.status, 1)
        report = msgspec.json.decode(done.out)
        self.assertEqual(report["refusals"], {"unknown_entry": SENT})
        self.assertEqual(report["outcomes"], {"refused": SENT})

    def test_each_call_of_a_service_has_its_own_key(self):
        arguments = ("saved", "{}", "--path", "/phrases", "--method", "post")
        host, done = self.run_load(*arguments, save=Reply({"saved": 1}))
        self.assertEqual(done.status, 0, done.err)
        keys = {head["idempotency-key"] for head, _ in host.sent(SAVE)}
        self.assertEqual(len(keys), SENT)
