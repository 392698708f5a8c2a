"""A platform deployment whose targets run two software versions and break streams."""

import itertools
import json

import curio

from bronzepoint_common.http import HttpError
from tests._platform_site import PlatformSite, manifest
from tests._stand_in_target import StandInTarget

EVENTS = 5
"""Number of events of a whole stream."""
HOST_NAME = "v.example"
"""Host name of the routes."""
RESUMED = "/stream/resumed/"
"""Path of the route whose streams the system resumes."""
SINGLE = "/stream/single/"
"""Path of the route whose streams the system doesn't resume."""
VERSIONS = ("v1", "v2")
EXTRA_WAIT = 2.0
"""Seconds to wait for an answer after its deadline."""
CORE = {"core": "x"}
"""Region of the core host by its name."""
ENTRIES = {"entry": "x", "entry-2": "x", "entry-y": "y", "entry-y2": "y"}
"""Region of each entry host by its name."""
LARGE_CORE = {"core": "x", "core-2": "x", "core-y": "y", "core-y2": "y", "core-z": "z"}
"""Region of each core host of a site with three regions."""
LARGE_ENTRIES = {**ENTRIES, "entry-z": "z", "entry-z2": "z"}
"""Region of each entry host of a site with three regions."""
CUT_AFTER = 2
"""Number of events after which a stream breaks off."""


class VersionedTarget(StandInTarget):
    """Target that names its software version in each event.

    Attributes:
        version: Version of its software.
        region: Its region.
        breaks: Whether each stream breaks off after its first events.
        hold: Seconds for which a stream that begins there is kept open at its end.
    """

    def __init__(self, name, ip, port, version, region="x"):
        super().__init__(name, ip, port)
        self.version = version
        self.region = region
        self.breaks = False
        self.hold = 0.0

    async def _stream(self, exchange, headers, count):
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        is_cut = self.breaks and first == 1
        await exchange.start_stream(200, headers)
        for number in range(first, CUT_AFTER + 1 if is_cut else EVENTS + 1):
            await exchange.send(f"id: {number}\ndata: {self.version}\n\n".encode())
        if is_cut:
            # The events are read before the reset discards them.
            await curio.sleep(0.05)
            await exchange.abort()
            return
        if first == 1:
            await curio.sleep(self.hold)
        await exchange.end()

    def listed(self, state="ready"):
        found = super().listed(state)
        return {**found, "version": self.version, "zone": f"{self.region}-a"}


class Answer:
    """What a caller got of a stream over one or more attempts.

    Attributes:
        versions: Software version of each event.
        is_whole: Whether the stream ended as complete.
        status: Status of the last attempt; 0: its connection broke before.
        numbers: Number of each event.
    """

    def __init__(self):
        self.versions = []
        self.numbers = []
        self.is_whole = False
        self.status = 0


class VersionedSite(PlatformSite):
    """Entry hosts of some regions before targets of two versions.

    Streams of `RESUMED` may be resumed by the system, those of `SINGLE` by their
    callers only.

    Args:
        deadline_ms: Deadline of each request, in milliseconds.
        entries: Region of each entry host by its name.
        core: Region of each core host by its name.
        target_regions: Regions that have targets of both versions.
        targets: Number of targets of each version in each of these regions.
        objective_ms: Objective of the routes, in milliseconds.

    Attributes:
        unlisted: Versions whose targets are missing from the list.
    """

    def __init__(
        self,
        deadline_ms=4000,
        *,
        entries=ENTRIES,
        core=CORE,
        target_regions=("x",),
        targets=2,
        objective_ms=1000,
    ):
        self.deadline_ms = deadline_ms
        self.objective_ms = objective_ms
        self.entries = tuple(entries)
        self.unlisted = set()
        hosts = {
            name: ("core" if name in core else "entry", f"127.0.0.{2 + number}")
            for number, name in enumerate([*core, *entries])
        }
        kinds = [(v, r) for r in target_regions for v in VERSIONS] * targets
        self._kinds = iter(kinds)
        self._numbers = itertools.count()
        super().__init__(hosts=hosts, targets=len(kinds))
        self.regions = {
            name: region
            for name, region in {**core, **entries}.items()
            if region != "x"
        }

    def make_target(self, name, ip, port):
        return VersionedTarget(name, ip, port, *next(self._kinds))

    async def _answer_list(self, exchange):
        shown = [t for t in self.listed if t["version"] not in self.unlisted]
        body = json.dumps({"instances": shown, "next_token": None}).encode()
        await exchange.respond(200, {"Content-Type": "application/json"}, body)

    async def serve_routes(self):
        """Put the routes in force, and wait until all entry hosts serve them."""
        document = manifest(2)
        # No route of the first manifest matches another host name.
        stream = {**document["routes"].pop(), "host": HOST_NAME}
        stream["timeout_ms"] = max(stream["timeout_ms"], self.deadline_ms)
        stream["target_latency_ms"] = self.objective_ms
        document["routes"] += [
            {**stream, "name": "resumed", "path_prefix": RESUMED},
            {**stream, "name": "single", "path_prefix": SINGLE, "max_attempts": 1},
        ]
        await self.until_put(document)

        async def is_served():
            answers = [
                await self.stream(host, path)
                for host, path in itertools.product(self.entries, (RESUMED, SINGLE))
            ]
            return all(answer.is_whole for answer in answers)

        await self.until(is_served)

    def break_streams(self, breaks=True):
        """Set whether all targets break off each stream that begins there."""
        for target in self.targets:
            target.breaks = breaks

    def leave(self, version):
        """Show the targets of a version as leaving."""
        self.listed = [
            target.listed("draining" if target.version == version else "ready")
            for target in self.targets
        ]

    def remove(self, version):
        """Take the targets of a version off the list."""
        self.listed = [t.listed() for t in self.targets if t.version != version]

    def log_lines(self, answer):
        """Return the log lines of the last attempt, for failures."""
        return [
            line
            for name in self.entries
            for line in self.lines(name)
            if line.get("request") == answer.request_id
        ]

    async def stream(self, host, path, answer=None, resumes=""):
        """Ask a host for a stream, or for the rest of one, and return what came.

        Args:
            host: Name of the entry host.
            path: Path of the route.
            answer: What came of the stream before.
            resumes: Id of the attempt that brought its first event.
        """
        answer = answer or Answer()
        request_id = f"attempt-{next(self._numbers)}"
        headers = {
            "host": HOST_NAME,
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Deadline-Ms": str(self.deadline_ms),
        }
        if resumes:
            headers["Resumes"] = resumes
            headers["Last-Event-Id"] = str(len(answer.versions))
        answer.request_id, answer.status = request_id, 0
        address = f"{self.hosts[host][1]}:{self.front}"
        wait = self.deadline_ms / 1000 + EXTRA_WAIT
        text = b""
        try:
            async with self.client.stream(
                address, "POST", path + "a", headers, b"body", wait, fresh=True
            ) as found:
                answer.status = found.status
                async for piece in found.chunks():
                    text += piece
                answer.is_whole = found.status == 200
        except HttpError:
            pass
        if answer.status == 200:
            lines = text.decode().splitlines()
            answer.versions += [line[6:] for line in lines if line[:6] == "data: "]
            answer.numbers += [int(line[4:]) for line in lines if line[:4] == "id: "]
        return answer


__all__ = [
    "CUT_AFTER",
    "EVENTS",
    "LARGE_CORE",
    "LARGE_ENTRIES",
    "RESUMED",
    "SINGLE",
    "VERSIONS",
    "VersionedSite",
]
