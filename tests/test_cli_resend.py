"""Tests of how the command line handles lost hosts and lost answers."""

import signal
import subprocess
import time
import unittest

import msgspec

from bronzepoint_schema.generated import admin, agreement, decisions
from tests._command_line import MAX_WAIT, command, environment, run_command
from tests._fake_host import FakeHost, Reply

UNREACHABLE_HOST = "127.0.0.1:1"
CHANGES = "POST /v1/admin/changes"
SAVE = "POST /v1/services/saved/phrases"
ITEM = '{"kind": "owner", "name": "saphan", "version": 1}'
CATALOGUE = Reply(admin.CatalogueAnswer("bkk-1", 0))
DIRECTORY = "GET /v1/hosts"
NOT_READY = decisions.Refusal(
    decisions.RefusalKind.not_ready,
    "no quorum answered",
    "send the same change again",
    decisions.Ran.unknown,
    0.05,
)

UNKNOWN = decisions.Refusal(
    decisions.RefusalKind.target_failed,
    "the target cut its answer",
    "send it again with the same key",
    decisions.Ran.unknown,
)


class Resend(unittest.TestCase):
    def start(self, **routes: list[Reply]) -> FakeHost:
        names = {"changes": CHANGES, "save": SAVE, "directory": DIRECTORY}
        names |= {"chat": "POST /v1/chat/completions"}
        replies = {names[name]: found for name, found in routes.items()}
        replies.setdefault("GET /v1/admin/catalogue", [CATALOGUE])
        replies.setdefault(DIRECTORY, [Reply(admin.DirectoryAnswer())])
        host = FakeHost(replies).start()
        self.addCleanup(host.close)
        return host

    def test_next_host_is_tried_for_unreachable_one(self):
        host = self.start()
        done = run_command(
            "catalogue", "list", hosts=f"{UNREACHABLE_HOST},{host.address}"
        )
        self.assertEqual(done.status, 0, done.err)

    def test_no_host_reachable(self):
        done = run_command("hosts", hosts=UNREACHABLE_HOST)
        self.assertEqual(done.status, 3)
        self.assertIn("check --hosts", done.err)

    def test_change_keeps_its_id(self):
        """Guards against an applied change that is reported as a conflict with itself.

        A host applies the change and its answer is lost, so the command resends it to
        another host. With a new id, it would be a second change of the same version.
        """
        first = self.start(changes=[Reply(cut=True)])
        body = decisions.ErrorBody(NOT_READY)
        accepted = Reply(agreement.Accepted("c", 1, 1))
        second = self.start(changes=[Reply(body, 503), accepted])
        hosts = f"{first.address},{second.address}"
        done = run_command("catalogue", "apply", "-", hosts=hosts, given=ITEM)
        self.assertEqual(done.status, 0, done.err)
        sent = [*first.sent(CHANGES), *second.sent(CHANGES)]
        self.assertGreaterEqual(len(sent), 3)
        changes = {
            msgspec.json.decode(body, type=agreement.Change).change_id
            for _, body in sent
        }
        self.assertEqual(len(changes), 1)

    def test_unanswered_change_says_how_to_resend_it(self):
        host = self.start(changes=[Reply(cut=True)])
        done = run_command(
            *("--timeout", "1", "catalogue", "apply", "-"),
            hosts=host.address,
            given=ITEM,
        )
        self.assertEqual(done.status, 3)
        _, body = host.sent(CHANGES)[0]
        change = msgspec.json.decode(body, type=agreement.Change)
        self.assertIn(f"--change-id {change.change_id}", done.err)

    def test_call_keeps_its_key(self):
        """Guards against running a call twice.

        The service runs the call and its answer is lost, so the command resends it
        through the next host in the directory. With a new key, it would be a new call.
        """
        second = self.start(save=[Reply({"saved": 1})])
        other = admin.DirectoryHost("bkk-2", "bkk", second.address)
        directory = [Reply(admin.DirectoryAnswer([other], 5))]
        first = self.start(save=[Reply(cut=True)], directory=directory)
        second_only = [Reply(cut=True), Reply({"saved": 1})]
        second._replies[SAVE] = second_only
        arguments = ("send", "saved", "{}", "--path", "/phrases", "--method", "POST")
        done = run_command(*arguments, hosts=first.address)
        self.assertEqual(done.status, 0, done.err)
        self.assertTrue(first.sent(SAVE))
        sent = [*first.sent(SAVE), *second.sent(SAVE)]
        self.assertEqual(len({head["idempotency-key"] for head, _ in sent}), 1)
        self.assertEqual(len(sent), 3)

    def test_interrupted_call_prints_its_key(self):
        """Guards against running a call twice after Ctrl-C.

        A user interrupts a slow call and repeats the command. The second command makes
        a new key, since the user doesn't know the first one unless it was printed.
        """
        host = self.start(save=[Reply(hang=True)])
        arguments = ("send", "saved", "{}", "--path", "/phrases", "--method", "POST")
        process = subprocess.Popen(
            command(*arguments),
            env=environment(host.address, "a-token"),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.kill)
        deadline = time.monotonic() + MAX_WAIT
        while not host.sent(SAVE) and time.monotonic() < deadline:
            time.sleep(0.02)
        process.send_signal(signal.SIGINT)
        _, shown = process.communicate(timeout=MAX_WAIT)
        self.assertEqual(process.returncode, 130)
        ((head, _),) = host.sent(SAVE)
        self.assertIn(f"--key {head['idempotency-key']}", shown)

    def test_unknown_outcome_of_a_call_prints_its_key(self):
        refusal = decisions.ErrorBody(UNKNOWN)
        host = self.start(save=[Reply(refusal, 502)])
        arguments = ("send", "saved", "{}", "--path", "/phrases", "--method", "POST")
        done = run_command(*arguments, hosts=host.address)
        self.assertEqual(done.status, 1)
        ((head, _),) = host.sent(SAVE)
        self.assertIn(f"--key {head['idempotency-key']}", done.err)

    def test_reading_call_has_no_key(self):
        host = self.start()
        run_command("send", "saved", "--path", "/phrases", hosts=host.address)
        ((head, _),) = host.sent("GET /v1/services/saved/phrases")
        self.assertNotIn("idempotency-key", head)

    def test_stream_is_retried_only_before_its_first_output(self):
        """Guards against output that mixes the beginning and end of two answers.

        A stream is truncated in the middle, and the next host starts from the beginning
        with an answer that may differ.
        """
        whole = Reply(stream=[b'data: {"choices":[]}\n\n', b"data: [DONE]\n\n"])
        part = b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'
        for broken, retried in (
            (Reply(cut=True), 1),
            (Reply(stream=[part], cut=True), 0),
        ):
            with self.subTest(retried=retried):
                first, second = self.start(chat=[broken]), self.start(chat=[whole])
                hosts = f"{first.address},{second.address}"
                done = run_command("send", "phrasebook", "x", hosts=hosts)
                self.assertEqual(done.status, 0 if retried else 3, done.err)
                retries = second.sent("POST /v1/chat/completions")
                self.assertEqual(len(retries), retried)
