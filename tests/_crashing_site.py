"""A platform deployment whose targets crash on one request, and its callers."""

import http.client
import itertools
from collections import Counter
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError, HttpLimits, HttpServer
from tests._platform_site import PlatformSite
from tests._stand_in_target import StandInTarget

SETTLE_TIME = 6.0
"""Seconds after the third crash from which arrivals count against the limit."""
MAX_ARRIVALS = 3
"""Maximum number of arrivals of the harmful request after ``SETTLE_TIME``."""
RESTART_DELAY = 1.0
"""Seconds after which a crashed target has restarted."""
CRASH_DELAY = 0.03
"""Seconds from the beginning of a run to the crash."""
POISON_INTERVAL = 0.4
"""Seconds between two harmful requests."""
PLAIN_INTERVAL = 0.1
"""Seconds between two plain requests."""
SLOW_EVENT = 0.15
"""Seconds between two events of a slow stream."""
POISON = b"crash"
"""Body of the harmful request."""
SLOW_STREAM = b"slow"
"""Body of a stream that takes longer than the time between two crashes."""
STREAM_INTERVAL = 0.2
"""Seconds between the starts of two streams."""
QUEUE_DELAY = 0.3
"""Seconds for which a busy target queues a request."""
STREAM_EVENTS = 20
"""Number of events of a slow stream."""
CORES = {f"core-{n}": ("core", f"127.0.0.{10 + n}") for n in (1, 2, 3)}
ENTRIES = {f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in (1, 2, 3)}


class CrashingTarget(StandInTarget):
    """Stub target that crashes when it runs the harmful request and restarts soon.

    Attributes:
        arrivals: Monotonic times at which the harmful request arrived.
        crashes: Monotonic times of its crashes.
    """

    def __init__(self, name, ip, port, site, keeps_id=False, queue=0.0):
        super().__init__(name, ip, port)
        self.queue = queue
        self.base_name = name
        self.site = site
        self.keeps_id = keeps_id
        self.starts = 0
        self.is_down = False
        self.arrivals = []
        self.crashes = []
        self._restart_task = None

    async def _answer(self, exchange):
        body = await exchange.body()
        if body.startswith(POISON):
            self.arrivals.append(monotonic())
        if body.startswith((POISON, SLOW_STREAM)):
            await curio.sleep(self.queue)
        if body.startswith(POISON):
            await self._begin(exchange)
            return
        if body.startswith(SLOW_STREAM):
            await self._stream_slowly(exchange)
            return
        await super()._answer(exchange)

    async def _begin(self, exchange):
        expected = exchange.request.headers.get("x-bronzepoint-expect-instance")
        if expected != self.name:
            await exchange.respond(421, {})
            return
        if exchange.request.path.startswith("/stream/"):
            await self._stream(exchange, self._headers(exchange), 2)
        await curio.sleep(CRASH_DELAY)
        await self.crash()
        await exchange.abort()

    async def _stream_slowly(self, exchange):
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        await exchange.start_stream(200, self._headers(exchange))
        for number in range(first, STREAM_EVENTS + 1):
            await exchange.send(f"id: {number}\ndata: {number}\n\n".encode())
            await curio.sleep(SLOW_EVENT)
        await exchange.end()

    def _headers(self, exchange):
        sent = exchange.request.headers.get("x-bronzepoint-request-id", "")
        return {
            "X-Bronzepoint-Request-Id": sent,
            "X-Bronzepoint-Response-Seal": self.name,
        }

    async def crash(self):
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(monotonic())
        self._restart_task = await curio.spawn(self._restart, daemon=True)

    async def stay_down(self):
        """Stop restarting, as the site is being closed."""
        self.is_down = True
        if self._restart_task is not None:
            await self._restart_task.cancel()

    async def _restart(self):
        await self.server.close(0)
        await curio.sleep(RESTART_DELAY)
        self.starts += 1
        if not self.keeps_id:
            self.name = f"{self.base_name}-{self.starts}"
        self.server = HttpServer(self._answer, HttpLimits())
        await self.server.start(self.address)
        self.is_down = False
        self.site.list_all()

    def listed(self, state="ready"):
        born = 1_700_000_000_000 + self.starts
        return {**super().listed(state), "born": born}


class CrashingSite(PlatformSite):
    """Host processes with targets that crash on the harmful request.

    Args:
        keeps_id: Whether targets keep their id when they restart.
        hosts: Role and address of each host.
        targets: Number of targets.
        queue: Seconds for which targets queue a request.
        elsewhere: Hosts of another region, which has no targets.

    Attributes:
        summary: What the hosts' logs say of requests that weren't answered, for
            failures; set when the site ends.
    """

    def __init__(self, keeps_id=False, hosts=None, targets=4, queue=0.0, elsewhere=()):
        super().__init__(targets=targets, hosts=hosts or {**CORES, **ENTRIES})
        self.regions = dict.fromkeys(elsewhere, "y")
        self.keeps_id = keeps_id
        self.queue = queue
        self.summary = {}

    async def __aexit__(self, *exc_info):
        self.summary = {name: self._summarise(name) for name in self.processes}
        for target in self.targets:
            await target.stay_down()
        await super().__aexit__(*exc_info)

    def _summarise(self, name):
        """Return how often each other outcome was logged, and the latest timer."""
        lines = self.lines(name)
        outcomes = Counter(line["outcome"] for line in lines if "outcome" in line)
        del outcomes["answered"]
        late = [x["seconds"] for x in lines if x["message"] == "event loop late"]
        return dict(outcomes), f"timers up to {max(late, default=0.0):.2f} s late"

    def make_target(self, name, ip, port):
        return CrashingTarget(name, ip, port, self, self.keeps_id, self.queue)

    def list_all(self):
        self.listed = [target.listed() for target in self.targets]

    def addresses(self):
        """Return the addresses at which live entry hosts accept requests."""
        found = [
            f"{ip}:{self.front}"
            for name, (role, ip) in self.hosts.items()
            if role == "entry" and self.processes[name].poll() is None
        ]
        if not found:
            raise AssertionError(f"no live entry host: {self.diagnostics()}")
        return found

    def crashes(self):
        return sorted(at for target in self.targets for at in target.crashes)

    def arrivals(self):
        return sorted(at for target in self.targets for at in target.arrivals)

    def late_arrivals(self):
        """Return the arrivals that count against ``MAX_ARRIVALS``."""
        crashes = self.crashes()
        if len(crashes) < 3:
            return []
        return [at for at in self.arrivals() if at > crashes[2] + SETTLE_TIME]


@dataclass
class Results:
    """Results of the callers' requests, each with the time at which it was sent."""

    poison: list = field(default_factory=list)
    plain: list = field(default_factory=list)
    streams: list = field(default_factory=list)
    stop: bool = False


class Callers:
    """A caller that repeats the harmful request, and callers with other requests.

    Args:
        site: The deployment.
        path: Path of the harmful request.
        sources: Source addresses of the harmful request, used round robin; empty to
            use the default address.
    """

    def __init__(self, site, path, sources=()):
        self._site = site
        self._path = path
        self._sources = itertools.cycle(sources) if sources else None
        self._numbers = itertools.count()
        self.results = Results()

    async def ask(self, address, path, body, wait=4.0):
        """Send a request; return the answer or the name of the error."""
        headers = {
            "X-Bronzepoint-Request-Id": f"id-{next(self._numbers)}",
            "X-Bronzepoint-Deadline-Ms": str(int(wait * 1000)),
        }
        try:
            return await self._site.call(
                "POST", path, body, address, headers, wait=wait
            )
        except HttpError as exc:
            return type(exc).__name__

    async def repeat_poison(self):
        for number in itertools.count():
            if self.results.stop:
                return
            addresses = self._site.addresses()
            address = addresses[number % len(addresses)]
            await curio.spawn(self._send_poison, address, daemon=True)
            await curio.sleep(POISON_INTERVAL)

    async def _send_poison(self, address):
        began = monotonic()
        if self._sources is None:
            answer = await self.ask(address, self._path, POISON)
        else:
            source = next(self._sources)
            answer = await curio.run_in_thread(self._ask_from, source, address)
        self.results.poison.append((began, monotonic() - began, answer))

    def _ask_from(self, source, address):
        host, _, port = address.rpartition(":")
        conn = http.client.HTTPConnection(
            host, int(port), timeout=4.0, source_address=(source, 0)
        )
        headers = {
            "Host": "h.example",
            "X-Bronzepoint-Request-Id": f"id-{next(self._numbers)}",
            "X-Bronzepoint-Deadline-Ms": "4000",
        }
        try:
            conn.request("POST", self._path, POISON, headers)
            return conn.getresponse().status
        except (OSError, http.client.HTTPException) as exc:
            return type(exc).__name__
        finally:
            conn.close()

    async def send_streams(self):
        """Start streams continuously; an incomplete one is requested once more."""
        for number in itertools.count():
            if self.results.stop:
                return
            await curio.spawn(self._stream, number, daemon=True)
            await curio.sleep(STREAM_INTERVAL)

    async def _stream(self, number):
        began = monotonic()
        for attempt in range(2):
            addresses = self._site.addresses()
            address = addresses[(number + attempt) % len(addresses)]
            path = f"/stream/busy-{number}"
            answer = await self.ask(address, path, SLOW_STREAM, wait=10.0)
            complete = getattr(answer, "body", b"").count(b"id: ") == STREAM_EVENTS
            if complete:
                break
        self.results.streams.append(
            (began, complete, getattr(answer, "status", answer))
        )

    async def send_plain(self):
        for number in itertools.count():
            if self.results.stop:
                return
            addresses = self._site.addresses()
            # A third of them are identical, as a frequent request is in progress at
            # any target that crashes.
            body = b"alike" if number % 3 == 0 else b"plain %d" % number
            address = addresses[number % len(addresses)]
            await curio.spawn(self._send_plain, address, body, daemon=True)
            await curio.sleep(PLAIN_INTERVAL)

    async def _send_plain(self, address, body):
        began = monotonic()
        answer = await self.ask(address, "/safe/plain", body)
        self.results.plain.append((began, getattr(answer, "status", answer), body))

    async def run(self, seconds, *more):
        """Run all callers for some seconds."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.repeat_poison)
            await group.spawn(self.send_plain)
            for each in more:
                await group.spawn(each)
            await curio.sleep(seconds)
            self.results.stop = True
        await curio.sleep(0.5)

    def stream_success_rate(self, since):
        """Return the share of streams started after ``since`` that were complete."""
        found = [
            complete for began, complete, _ in self.results.streams if began > since
        ]
        return sum(found) / max(1, len(found))

    def plain_success_rate(self, since):
        """Return the share of plain requests sent after ``since`` that succeeded."""
        found = [
            status == 200 for began, status, _ in self.results.plain if began > since
        ]
        return sum(found) / max(1, len(found))
