"""Requests whose targets pause are answered whole: real processes."""

import itertools
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import HttpError
from tests._platform_site import PlatformSite, manifest
from tests._stand_in_target import StandInTarget
from tests.test_http_server import run

HOSTS = {
    "core": ("core", "127.0.0.2"),
    "entry": ("entry", "127.0.0.3"),
    "entry-y": ("entry", "127.0.0.4"),
}
ENTRIES = ("entry", "entry-y")
"""An entry host in the region of the targets, and one in another region."""
HOST_NAME = "slow.example"
"""Host name of the routes."""
PATHS = {2: "/two/", 3: "/three/"}
"""Path of a resumable route, by its limit of attempts."""
PLAIN = "/plain/"
"""Path of a route whose answers aren't streams."""
TIMEOUT_MS = 8000
"""Time limit of each request, in milliseconds."""
MAX_WAIT = 12.0
"""Seconds to wait for an answer."""
EVENTS = 5
"""Number of events of a whole stream."""
WHOLE = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
STREAMS = 4
"""Streams that are requested at once; all of them fit on one target."""
STAGGERED_STREAMS = 16
"""Streams that are requested one after another."""
STAGGER = 0.25
"""Seconds between the starts of two of them. So some of them always send events."""
MID_STREAM = 3
"""Event before which a target pauses in the middle of a stream."""
FOR_GOOD = 60.0
"""Seconds of a pause that outlasts each request."""


class PausingTarget(StandInTarget):
    """Target that pauses before one event and then goes on.

    Attributes:
        pause: Seconds that it pauses.
        before: Number of the event before which it pauses.
        only_first_run: Whether it pauses only in the first run of a request, at
            whichever target.
        begun: Ids of the requests that any target of the site has run.
    """

    def __init__(self, name, ip, port, begun):
        super().__init__(name, ip, port)
        self.pause = 0.0
        self.before = 0
        self.only_first_run = False
        self.begun = begun

    async def _answer(self, exchange):
        if not exchange.request.path.startswith((*PATHS.values(), PLAIN)):
            await super()._answer(exchange)
            return
        if exchange.request.headers.get("x-bronzepoint-expect-instance") != self.name:
            await exchange.respond(421, {})
            return
        request_id = exchange.request.headers["x-bronzepoint-request-id"]
        pauses = not (self.only_first_run and request_id in self.begun)
        self.begun.add(request_id)
        self.ran[request_id] += 1
        headers = {
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Response-Seal": self.name,
        }
        if exchange.request.path.startswith(PLAIN):
            await curio.sleep(self.pause if pauses else 0.0)
            await exchange.respond(200, headers, b"plain")
            return
        await self._stream_events(exchange, headers, pauses)

    async def _stream_events(self, exchange, headers, pauses):
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            if pauses and number == self.before:
                await curio.sleep(self.pause)
            if number == first:
                await exchange.start_stream(200, headers)
            await exchange.send(b"id: %d\ndata: %d\n\n" % (number, number))
        await exchange.end()


class SlowSite(PlatformSite):
    """Entry hosts in two regions before targets that pause."""

    def __init__(self, targets):
        super().__init__(hosts=HOSTS, targets=targets)
        self.regions = {"entry-y": "y"}
        self.begun = set()
        self._numbers = itertools.count()

    def make_target(self, name, ip, port):
        return PausingTarget(name, ip, port, self.begun)

    async def serve_routes(self):
        """Put the routes in force, and wait until both regions serve them."""
        await self.until_put(_manifest(2))

        async def is_served():
            answers = [
                await self.answer(host, path)
                for host, path in itertools.product(ENTRIES, (*PATHS.values(), PLAIN))
            ]
            return all(status == 200 for status, _ in answers)

        await self.until(is_served)

    def let_targets_pause(self, pause, before=MID_STREAM, only_first_run=False):
        for target in self.targets:
            target.pause, target.before = pause, before
            target.only_first_run = only_first_run

    async def answer(self, host, path):
        """Send a request; return status and body, or 0 and why there is no answer."""
        headers = {
            "host": HOST_NAME,
            "X-Bronzepoint-Request-Id": f"{host}-{next(self._numbers)}",
            "X-Bronzepoint-Deadline-Ms": str(TIMEOUT_MS),
        }
        address = f"{self.hosts[host][1]}:{self.front}"
        try:
            found = await self.client.fetch(
                address, "POST", f"{path}a", headers, b"body", MAX_WAIT, fresh=True
            )
        except HttpError as exc:
            return 0, repr(exc)
        return found.status, found.body

    async def answers(self, host, path, count, meanwhile=None):
        """Send requests at once and return the answers."""
        tasks = [await curio.spawn(self.answer, host, path) for _ in range(count)]
        if meanwhile is not None:
            await meanwhile()
        return [await task.join() for task in tasks]

    def log_lines(self):
        """Return outcome and tries of all requests, for failures."""
        return [
            (name, line["outcome"], line["tries"])
            for name in ENTRIES
            for line in self.lines(name)
            if "tries" in line and line["outcome"] != "answered"
        ]


def _manifest(version):
    document = manifest(version)
    plain, stream = document["routes"][0], document["routes"][2]
    limits = {"host": HOST_NAME, "timeout_ms": TIMEOUT_MS}
    for attempts, path in PATHS.items():
        route = {**stream, **limits, "name": path, "path_prefix": path}
        document["routes"].append({**route, "max_attempts": attempts})
    route = {**plain, **limits, "name": PLAIN, "path_prefix": PLAIN}
    document["routes"].append(route)
    return document


class SlowTargets(unittest.TestCase):
    """Guards against requests that are ended although their target works on them."""

    maxDiff = None

    @params(*itertools.product((1, 2), ENTRIES, PATHS))
    def test_a_stream_that_pauses_goes_on(self, targets, host, attempts):
        async def main():
            async with SlowSite(targets) as site:
                await site.serve_routes()
                for pause in (1.4, 2.5):
                    site.let_targets_pause(pause)
                    found = await site.answers(host, PATHS[attempts], STREAMS)
                    expected = [(200, WHOLE)] * STREAMS
                    self.assertEqual(found, expected, site.log_lines())

        run(main)

    def test_a_target_that_pauses_is_not_ejected(self):
        """Guards against ejecting a target that works, since its runs were moved."""

        async def main():
            async with SlowSite(2) as site:
                await site.serve_routes()
                site.let_targets_pause(1.4)
                tasks = []
                for _ in range(STAGGERED_STREAMS):
                    tasks.append(await curio.spawn(site.answer, "entry", PATHS[3]))
                    await curio.sleep(STAGGER)
                found = [await task.join() for task in tasks]
                expected = [(200, WHOLE)] * STAGGERED_STREAMS
                self.assertEqual(found, expected, site.log_lines())
                lines = site.lines("entry")
                self.assertNotIn("target ejected", [line["message"] for line in lines])

        run(main)

    @params(*ENTRIES)
    def test_a_stream_that_pauses_beside_a_change_of_the_catalogue_goes_on(self, host):
        async def main():
            async with SlowSite(1) as site:
                await site.serve_routes()
                site.let_targets_pause(1.4)

                async def change():
                    await curio.sleep(0.5)
                    await site.until_put(_manifest(3))

                found = await site.answers(host, PATHS[2], STREAMS, change)
                expected = [(200, WHOLE)] * STREAMS
                self.assertEqual(found, expected, site.log_lines())

        run(main)

    @params(*itertools.product((1, 2), ENTRIES))
    def test_an_answer_that_begins_late_is_awaited(self, targets, host):
        async def main():
            async with SlowSite(targets) as site:
                await site.serve_routes()
                site.let_targets_pause(2.5, before=1)
                for path, body in ((PATHS[2], WHOLE), (PLAIN, b"plain")):
                    found = await site.answers(host, path, STREAMS)
                    expected = [(200, body)] * STREAMS
                    self.assertEqual(found, expected, site.log_lines())

        run(main)

    @params(*itertools.product(ENTRIES, (1, MID_STREAM)))
    def test_a_run_that_is_silent_for_good_is_replaced(self, host, before):
        async def main():
            async with SlowSite(2) as site:
                await site.serve_routes()
                site.let_targets_pause(FOR_GOOD, before, only_first_run=True)
                found = await site.answers(host, PATHS[2], STREAMS)
                expected = [(200, WHOLE)] * STREAMS
                self.assertEqual(found, expected, site.log_lines())

        run(main)


if __name__ == "__main__":
    unittest.main()
