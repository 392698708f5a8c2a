"""Tests of the platform's programs as real processes with stub targets."""

import json
import signal
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import AnswerCut, HttpError
from tests._platform_site import PlatformSite, manifest


def on_site(test):
    """Decorate a test coroutine to run with a started site."""

    def run(self, *arguments):
        async def main():
            async with PlatformSite() as site:
                await test(self, site, *arguments)

        curio.run(main)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


class TestRequests(unittest.TestCase):
    @params(
        ("serve", "/safe/a", 200, b"body", 1),
        ("serve", "/once/a", 200, b"body", 1),
        ("serve", "/stream/a", 200, events(1, 5), 1),
        ("fail", "/once/a", 500, b"no", 1),
        ("reset", "/once/a", 502, b"no whole answer\n", 1),
        ("serve", "/nowhere/a", 404, b"no such route\n", 0),
    )
    def test_non_repeatable_request_is_sent_once(
        self, action, path, status, body, arrivals
    ):
        """Guards against repeating a request that may have run and isn't repeatable."""

        async def main():
            async with PlatformSite() as site:
                for target in site.targets:
                    target.script = [action]
                answer = await site.ask(path)
                return answer, sum(len(target.seen) for target in site.targets)

        answer, seen = curio.run(main)
        found = (answer.status, answer.body, seen)
        self.assertEqual(found, (status, body, arrivals))

    @params(
        ("full", "/safe/a", 200, b"body"),
        ("fail", "/safe/a", 200, b"body"),
        ("reset", "/safe/a", 200, b"body"),
        ("full", "/once/a", 200, b"body"),
        ("replaced", "/once/a", 200, b"body"),
        ("break", "/stream/a", 200, events(1, 5)),
        ("full", "/stream/a", 200, events(1, 5)),
    )
    def test_another_target_answers(self, action, path, status, body):
        async def main():
            async with PlatformSite() as site:
                bad, good = site.targets
                bad.script = [action] * 20
                answers = [await site.ask(path, f"id-{n}") for n in range(6)]
                return answers, len(bad.seen), len(good.seen)

        answers, bad, good = curio.run(main)
        self.assertEqual({(a.status, a.body) for a in answers}, {(status, body)})
        self.assertGreater(bad, 0)
        self.assertGreater(good, 0)

    @params(("crash", "whole", 3), ("break", "cut", 2))
    def test_crashed_targets_do_not_count_as_attempts(self, action, end, arrivals):
        """Guards against giving up a stream that another target could resume.

        Two targets crash in turn, and the route allows two attempts. Crashed targets
        must not count, since neither still runs the request. Live targets that only
        broke the connection do count.
        """

        async def main():
            async with PlatformSite(targets=3) as site:
                script = [action, action]
                for target in site.targets:
                    target.script = script
                try:
                    answer = await site.ask("/stream/a")
                    found = "whole" if answer.body == events(1, 5) else answer.body
                except AnswerCut:
                    found = "cut"
                return found, sum(len(target.seen) for target in site.targets)

        self.assertEqual(curio.run(main), (end, arrivals))

    @on_site
    async def test_reserved_headers_are_not_passed_on(self, site):
        await site.ask(
            "/safe/a",
            **{"Kv-From": "1.2.3.4:5/6", "X-Bronzepoint-Pin-Ms": "9", "X-Own": "kept"},
        )
        (request,) = [r for t in site.targets for r in t.seen]
        self.assertNotIn("kv-from", request.headers)
        self.assertNotIn("x-bronzepoint-pin-ms", request.headers)
        self.assertEqual(request.headers["x-own"], "kept")
        self.assertEqual(request.headers["host"], "h.example")
        self.assertLess(int(request.headers["x-bronzepoint-deadline-ms"]), 4000)

    @on_site
    async def test_disconnected_caller_ends_the_run_on_the_target(self, site):
        for target in site.targets:
            target.script = ["hang"]
        task = await curio.spawn(site.ask, "/once/a")
        await site.until(lambda: any_of(t.seen for t in site.targets))
        await task.cancel()
        await site.until(lambda: any_of(t.cut for t in site.targets))

    @on_site
    async def test_deadline_is_answered_in_time_and_not_as_a_refusal(self, site):
        for target in site.targets:
            target.script = ["hang"]
        answer = await site.ask("/once/a", deadline_ms=700)
        self.assertEqual(answer.status, 504)
        (line,) = [x for x in site.lines("entry") if x.get("request") == "id-1"]
        self.assertEqual((line["outcome"], line["sends"]), ("deadline", 1))

    @on_site
    async def test_stream_that_breaks_past_its_deadline_has_one_line(self, site):
        """Guards against two log lines with two outcomes for one request.

        A stream runs past its deadline and breaks within the time allowed beyond it.
        The request, which had already been given up, was given up again as late.
        """
        for target in site.targets:
            target.script = ["break_late"]
        try:
            await site.ask("/stream/a", deadline_ms=700)
        except HttpError:
            pass
        await site.until(lambda: any_of(request_lines(site, "id-1")))
        await curio.sleep(0.5)
        self.assertEqual(len(request_lines(site, "id-1")), 1)

    @on_site
    async def test_draining_targets_get_no_new_requests(self, site):
        first, second = site.targets
        site.listed = [first.listed("draining"), second.listed()]
        await site.until(lambda: is_logged(site, "target leaves"))
        for number in range(8):
            await site.ask("/safe/a", f"id-{number}")
        self.assertEqual((len(first.seen), len(second.seen)), (0, 8))


class TestOperators(unittest.TestCase):
    @params(
        (b"{", "can't be read"),
        (json.dumps(manifest(2, service="none")).encode(), "not declared"),
        (json.dumps(manifest(2, path_prefix="/once/")).encode(), "share a host"),
        (json.dumps(manifest(2, timeout_ms=0)).encode(), "above 0"),
        (json.dumps(manifest(2**64)).encode(), "can't be read"),
        (json.dumps(manifest(2, priority=-(2**70))).encode(), "can't be read"),
        (b'{"version":2,"more":%s%s}' % (b"[" * 3000, b"]" * 3000), "can't be read"),
        (
            json.dumps(
                manifest(2, traffic_split=[{"service": "s", "weight": 0}])
            ).encode(),
            "add up to 0",
        ),
    )
    def test_invalid_manifest_is_refused_and_changes_nothing(self, content, word):
        async def main():
            async with PlatformSite() as site:
                refused = await site.control_call("PUT", "/-/config", content)
                stored = await site.control_call("GET", "/-/config")
                return refused, stored

        refused, stored = curio.run(main)
        self.assertEqual(refused.status, 400)
        self.assertIn(word, refused.body.decode())
        self.assertEqual(json.loads(stored.body), manifest(1))

    @on_site
    async def test_change_takes_effect_and_survives_a_kill_of_all_hosts(self, site):
        await site.until_put(manifest(5, path_prefix="/new/"))

        async def served():
            return (await site.ask("/new/a")).status == 200

        await site.until(served)
        self.assertEqual((await site.put(manifest(4))).status, 200)
        for role in ("core", "entry"):
            site.signal(role, signal.SIGKILL)
            site.processes[role].wait()
        for role in ("core", "entry"):
            site.start(role)
        await site.until(served)
        stored = await site.control_call("GET", "/-/config")
        self.assertEqual(json.loads(stored.body)["version"], 5)

    @on_site
    async def test_change_takes_effect_beside_a_foreign_list_entry(self, site):
        """Guards against one entry in the list that cuts a region off from the core."""
        foreign = site.targets[0].listed() | {"id": "job-17", "service": "jobs"}
        site.listed.append(foreign | {"cold_left_ms": 1e20})

        async def is_listed():
            return any("job-17" in str(line) for line in site.lines("core"))

        await site.until(is_listed)
        await site.put(manifest(2, path_prefix="/new/"))

        async def is_served():
            return (await site.ask("/new/a")).status == 200

        await site.until(is_served)

    @on_site
    async def test_operator_changes_the_weight_of_an_organisation(self, site):
        path = "/-/weights/acme"
        changed = await site.control_call("PUT", f"{path}?factor=3&seconds=600")
        invalid = [
            await site.control_call("PUT", f"{path}?{query}")
            for query in ("factor=3", "factor=x&seconds=9", "factor=0&seconds=9")
        ]
        self.assertEqual(changed.status, 200)
        self.assertEqual([answer.status for answer in invalid], [400] * 3)
        (line,) = [
            line for line in site.lines("core") if line["message"] == "weight changed"
        ]
        self.assertEqual((line["organisation"], line["factor"]), ("acme", 3.0))

    @on_site
    async def test_evacuated_data_center_gets_no_requests_until_reopened(self, site):
        await site.control_call("POST", "/-/evacuations/x-a")

        async def refused():
            return (await site.ask("/safe/a")).status == 503

        await site.until(refused)
        answer = await site.ask("/safe/a", "id-refused")
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        (line,) = [x for x in site.lines("entry") if x.get("request") == "id-refused"]
        self.assertIn("tries", line, line)
        self.assertIn("closed ['x-a']", line["tries"][-1])
        await site.control_call("DELETE", "/-/evacuations/x-a")

        async def served():
            return (await site.ask("/safe/a")).status == 200

        await site.until(served)

    @on_site
    async def test_directory_lists_ready_hosts(self, site):
        path = "/-/lookup?name=h.example&region=y&zone=y-a"

        async def named():
            answer = await site.control_call("GET", path)
            return answer.status == 200 and json.loads(answer.body)["addresses"] == [
                f"127.0.0.3:{site.front}"
            ]

        await site.until(named)
        site.signal("entry")

        async def is_removed():
            return (await site.control_call("GET", path)).status == 503

        await site.until(is_removed)


class TestSignals(unittest.TestCase):
    @on_site
    async def test_sigterm_aborts_no_request_in_progress(self, site):
        for target in site.targets:
            target.script = ["slow"]
        task = await curio.spawn(site.ask, "/safe/a")
        await site.until(lambda: any_of(t.seen for t in site.targets))
        site.signal("entry")
        answer = await task.join()
        self.assertEqual((answer.status, answer.body), (200, b"slow"))
        self.assertEqual(answer.headers.get("connection"), "close")
        self.assertEqual(site.processes["entry"].wait(timeout=20), 0)

    @params("core", "entry")
    def test_sighup_leaves_the_program_running(self, role):
        """Guards against a process that exits on SIGHUP.

        After reloading the settings, the program waits for the next signal. For this, a
        task was put into a second task group, which curio refuses.
        """

        async def main():
            async with PlatformSite() as site:
                for _ in range(2):
                    site.signal(role, signal.SIGHUP)
                    await curio.sleep(0.2)
                await site.until(lambda: is_logged(site, "settings read again", role))
                return site.processes[role].poll(), (await site.ask("/safe/a")).status

        self.assertEqual(curio.run(main), (None, 200))

    @on_site
    async def test_metrics_and_log_report_each_outcome(self, site):
        await site.ask("/safe/a", "id-7")
        (line,) = [x for x in site.lines("entry") if x.get("request") == "id-7"]
        self.assertEqual((line["outcome"], line["sends"]), ("answered_200", 1))
        page = await site.call("GET", "/metrics", address=f"127.0.0.3:{site.metrics}")
        self.assertIn("bronzepoint_outcome_answered_200 ", page.body.decode())


async def any_of(values):
    return any(values)


def request_lines(site, request_id):
    return [x for x in site.lines("entry") if x.get("request") == request_id]


async def is_logged(site, message, role="entry"):
    return any(line["message"] == message for line in site.lines(role))


if __name__ == "__main__":
    unittest.main()
