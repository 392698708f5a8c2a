"""Targets that one request crashes, behind the platform's programs, and callers."""

import http.client
import itertools
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError, HttpLimits, HttpServer
from tests._platform_site import PlatformSite
from tests._stand_in_target import StandInTarget

CONTACT = 6.0
"""Seconds after the third crash from which each further arrival counts."""
MOST_ARRIVALS = 3
"""Further arrivals that are allowed then."""
BACK_AFTER = 1.0
"""Seconds after which a crashed target is back."""
CRASH_DELAY = 0.03
"""Seconds from the beginning of a run to the crash."""
POISON_INTERVAL = 0.4
PLAIN_INTERVAL = 0.1
SLOW_EVENT = 0.15
"""Seconds between two events of a slow stream."""
POISON = b"crash"
SLOW = b"slow"
"""Body of a stream that takes longer than the time between two crashes."""
STREAM_INTERVAL = 0.2
QUEUE = 0.3
"""Seconds that a busy target takes to begin a request."""
WHOLE = 20
"""Events of a slow stream."""
CORES = {f"core-{n}": ("core", f"127.0.0.{10 + n}") for n in (1, 2, 3)}
ENTRIES = {f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in (1, 2, 3)}


class CrashingTarget(StandInTarget):
    """Ends with all that runs there when it begins the one request, and is back soon.

    Attributes:
        arrivals: When that request reached it.
        crashes: When it ended.
    """

    def __init__(self, name, ip, port, site, keeps_id=False, queue=0.0):
        super().__init__(name, ip, port)
        self.queue = queue
        self.base = name
        self.site = site
        self.keeps_id = keeps_id
        self.starts = 0
        self.is_down = False
        self.arrivals = []
        self.crashes = []
        self._returning = None

    async def _answer(self, exchange):
        body = await exchange.body()
        if body.startswith(POISON):
            self.arrivals.append(monotonic())
        if body.startswith((POISON, SLOW)):
            await curio.sleep(self.queue)
        if body.startswith(POISON):
            await self._begin(exchange)
            return
        if body.startswith(SLOW):
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
        for number in range(first, WHOLE + 1):
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
        self._returning = await curio.spawn(self._end_and_return, daemon=True)

    async def stay_down(self):
        """Start no server any more: the site ends."""
        self.is_down = True
        if self._returning is not None:
            await self._returning.cancel()

    async def _end_and_return(self):
        await self.server.close(0)
        await curio.sleep(BACK_AFTER)
        self.starts += 1
        if not self.keeps_id:
            self.name = f"{self.base}-{self.starts}"
        self.server = HttpServer(self._answer, HttpLimits())
        await self.server.start(self.address)
        self.is_down = False
        self.site.list_all()

    def listed(self, state="ready"):
        born = 1_700_000_000_000 + self.starts
        return {**super().listed(state), "born": born}


class CrashingSite(PlatformSite):
    """Hosts before targets of that kind.

    Args:
        keeps_id: Targets start again under the id that they had.
        hosts: Role and address of each host.
        targets: How many there are.
        queue: Seconds that targets take to begin a request.
        elsewhere: Hosts of another region, which has no targets.
    """

    def __init__(self, keeps_id=False, hosts=None, targets=4, queue=0.0, elsewhere=()):
        super().__init__(targets=targets, hosts=hosts or {**CORES, **ENTRIES})
        self.regions = dict.fromkeys(elsewhere, "y")
        self.keeps_id = keeps_id
        self.queue = queue

    async def __aexit__(self, *exc_info):
        for target in self.targets:
            await target.stay_down()
        await super().__aexit__(*exc_info)

    def make_target(self, name, ip, port):
        return CrashingTarget(name, ip, port, self, self.keeps_id, self.queue)

    def list_all(self):
        self.listed = [target.listed() for target in self.targets]

    def addresses(self):
        """Return where entry hosts that live take requests."""
        found = [
            f"{ip}:{self.front}"
            for name, (role, ip) in self.hosts.items()
            if role == "entry" and self.processes[name].poll() is None
        ]
        if not found:
            raise AssertionError(f"no entry host lives: {self.diagnostics()}")
        return found

    def crashes(self):
        return sorted(at for target in self.targets for at in target.crashes)

    def arrivals(self):
        return sorted(at for target in self.targets for at in target.arrivals)

    def late_arrivals(self):
        """Return the arrivals that count against the bound."""
        crashes = self.crashes()
        if len(crashes) < 3:
            return []
        return [at for at in self.arrivals() if at > crashes[2] + CONTACT]


@dataclass
class Seen:
    """What callers were told: when they asked, the status, and what the head said."""

    poison: list = field(default_factory=list)
    plain: list = field(default_factory=list)
    streams: list = field(default_factory=list)
    stop: bool = False


class Callers:
    """One caller that repeats the one request, others with plain ones and streams.

    Args:
        site: The hosts.
        path: Path of the one request.
        sources: Addresses that its caller comes from by turns; empty: always the same.
    """

    def __init__(self, site, path, sources=()):
        self._site = site
        self._path = path
        self._sources = itertools.cycle(sources) if sources else None
        self._numbers = itertools.count()
        self.seen = Seen()

    async def ask(self, address, path, body, wait=4.0):
        """Return the answer, or the error's name."""
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
            if self.seen.stop:
                return
            addresses = self._site.addresses()
            address = addresses[number % len(addresses)]
            await curio.spawn(self._poison_once, address, daemon=True)
            await curio.sleep(POISON_INTERVAL)

    async def _poison_once(self, address):
        began = monotonic()
        if self._sources is None:
            answer = await self.ask(address, self._path, POISON)
        else:
            source = next(self._sources)
            answer = await curio.run_in_thread(self._ask_from, source, address)
        self.seen.poison.append((began, monotonic() - began, answer))

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
        """Begin streams all the time; each caller that is cut asks once more."""
        for number in itertools.count():
            if self.seen.stop:
                return
            await curio.spawn(self._stream, number, daemon=True)
            await curio.sleep(STREAM_INTERVAL)

    async def _stream(self, number):
        began = monotonic()
        for attempt in range(2):
            addresses = self._site.addresses()
            address = addresses[(number + attempt) % len(addresses)]
            path = f"/stream/busy-{number}"
            answer = await self.ask(address, path, SLOW, wait=10.0)
            whole = getattr(answer, "body", b"").count(b"id: ") == WHOLE
            if whole:
                break
        self.seen.streams.append((began, whole, getattr(answer, "status", answer)))

    async def send_plain(self):
        for number in itertools.count():
            if self.seen.stop:
                return
            addresses = self._site.addresses()
            # A third of them are all alike: what many ask for runs beside any crash.
            body = b"alike" if number % 3 == 0 else b"plain %d" % number
            address = addresses[number % len(addresses)]
            await curio.spawn(self._plain_once, address, body, daemon=True)
            await curio.sleep(PLAIN_INTERVAL)

    async def _plain_once(self, address, body):
        began = monotonic()
        answer = await self.ask(address, "/safe/plain", body)
        self.seen.plain.append((began, getattr(answer, "status", answer), body))

    async def run(self, seconds, *more):
        """Let all of them ask for some seconds."""
        async with curio.TaskGroup() as group:
            await group.spawn(self.repeat_poison)
            await group.spawn(self.send_plain)
            for each in more:
                await group.spawn(each)
            await curio.sleep(seconds)
            self.seen.stop = True
        await curio.sleep(0.5)

    def streamed(self, since):
        """Return which part of the streams begun from a moment on came whole."""
        found = [whole for began, whole, _ in self.seen.streams if began > since]
        return sum(found) / max(1, len(found))

    def served(self, since):
        """Return which part of the plain requests from a moment on was served."""
        found = [status == 200 for began, status, _ in self.seen.plain if began > since]
        return sum(found) / max(1, len(found))
