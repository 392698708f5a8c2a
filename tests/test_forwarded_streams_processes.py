"""Streams of working hosts of another region go on: real processes."""

import itertools
import unittest

import curio

from bronzepoint_common.http import HttpError
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.core._visible_hosts import MAX_READY_PER_REGION
from tests._platform_site import MAX_START_WAIT, PlatformSite, manifest
from tests._stand_in_target import StandInTarget

FORWARDING_HOST = "127.0.0.20"
TARGET_REGION_HOSTS = [f"127.0.0.{number}" for number in range(21, 30)]
REPORT_ORDER = rendezvous_order(FORWARDING_HOST, TARGET_REGION_HOSTS)
"""Hosts of the targets' region by the order in which they are reported to the
forwarding host."""
STREAM_COUNT = 16
"""Number of streams in progress when hosts are added."""
REPORT_AGE = 3.0
"""Seconds after its last report after which a host used to count as lost."""
EVENT_INTERVAL = 0.5
"""Seconds between two events of a stream."""
TIMEOUT_MS = 120_000
"""Timeout of the routes. It doesn't end a stream while processes start."""


class PacedTarget(StandInTarget):
    """Target that sends events at an interval until its streams are to end.

    Attributes:
        finish: Whether streams end after their next event.
        streams: Number of streams that have begun.
    """

    def __init__(self, name, ip, port):
        super().__init__(name, ip, port)
        self.finish = False
        self.streams = 0

    async def _stream(self, exchange, headers, count):
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        self.streams += 1
        await exchange.start_stream(200, headers)
        for number in itertools.count(first):
            await exchange.send(f"id: {number}\ndata: {number}\n\n".encode())
            if self.finish:
                break
            await curio.sleep(EVENT_INTERVAL)
        await exchange.end()

    def listed(self, state="ready"):
        return {**super().listed(state), "slots": 2 * STREAM_COUNT}


class ForwardingSite(PlatformSite):
    """A host that forwards all its requests, and nine hosts in the targets' region.

    Those that are reported first to the forwarding host start later.
    """

    def __init__(self):
        late = len(TARGET_REGION_HOSTS) - MAX_READY_PER_REGION
        self.late, self.early = REPORT_ORDER[:late], REPORT_ORDER[late:]
        self._numbers = itertools.count()
        hosts = {"core": ("core", "127.0.0.10")}
        for address in self.early + [FORWARDING_HOST]:
            hosts[address] = ("entry", address)
        super().__init__(hosts=hosts)
        self.regions = {FORWARDING_HOST: "y"}

    def make_target(self, name, ip, port):
        return PacedTarget(name, ip, port)

    async def serve_routes(self):
        """Put the routes in force, and wait until all hosts get forwarded requests."""
        document = manifest(2)
        for route in document["routes"]:
            route["timeout_ms"] = TIMEOUT_MS
        await self.until_put(document)
        await self.until_forwarded_to(self.early)

    async def start_late_hosts(self):
        """Start the other hosts, and wait until they get forwarded requests."""
        for address in self.late:
            self.hosts[address] = ("entry", address)
            self.start(address, first=False)
        await self.until_forwarded_to(self.late)

    async def until_forwarded_to(self, names):
        async def is_reached():
            await self.send("/safe/a")
            return all(self.requests(name) for name in names)

        await self.until(is_reached, MAX_START_WAIT)

    def requests(self, name):
        """Return the log lines of the requests that a host was asked for."""
        return [line for line in self.lines(name) if line["message"] == "request"]

    async def send(self, path):
        """Ask the forwarding host; return the request's id and the answer, if any."""
        request_id = f"id-{next(self._numbers)}"
        headers = {
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Deadline-Ms": str(TIMEOUT_MS),
        }
        address = f"{FORWARDING_HOST}:{self.front}"
        wait = TIMEOUT_MS / 1000
        try:
            answer = await self.call("POST", path, b"body", address, headers, wait)
        except HttpError:
            return request_id, None
        return request_id, answer

    async def streams_have_begun(self):
        runs = sum(target.streams for target in self.targets)
        return runs >= STREAM_COUNT

    def runs(self, request_id):
        """Return how often targets ran a request."""
        return sum(target.ran[request_id] for target in self.targets)

    def tries(self, request_id):
        """Return the tries of a request at the forwarding host, for failures."""
        lines = self.requests(FORWARDING_HOST)
        return [line["tries"] for line in lines if line["request"] == request_id]


class ForwardedStreams(unittest.TestCase):
    """Streams that a host of another region relays."""

    maxDiff = None

    def test_a_stream_outlasts_the_report_of_its_host(self):
        """Guards against ending a stream of a working host that isn't reported."""

        async def main():
            async with ForwardingSite() as site:
                await site.serve_routes()
                streams = [
                    await curio.spawn(site.send, "/stream/a")
                    for _ in range(STREAM_COUNT)
                ]
                await site.until(site.streams_have_begun)
                await site.start_late_hosts()
                await curio.sleep(REPORT_AGE + 2 * EVENT_INTERVAL)
                for target in site.targets:
                    target.finish = True
                answers = [await stream.join() for stream in streams]
                served = {
                    line["request"]
                    for name in site.early[-len(site.late) :]
                    for line in site.requests(name)
                }
                displaced = [one for one in answers if one[0] in served]
                self.assertTrue(displaced, "no stream ran at a displaced host")
                return [
                    (request_id, site.tries(request_id))
                    for request_id, answer in answers
                    if answer is None
                    or answer.status != 200
                    or site.runs(request_id) != 1
                ]

        self.assertEqual(curio.run(main), [])


if __name__ == "__main__":
    unittest.main()
