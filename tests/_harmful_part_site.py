"""A platform deployment with a prompt part that crashes the targets that run it."""

import itertools
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._crashing_site import CRASH_DELAY, CrashingSite, CrashingTarget

CONTACT = 6.0
"""Seconds within which all hosts have to know of a crash."""
MAX_ARRIVALS = 3
"""Maximum number of arrivals of harmful requests ``CONTACT`` after the fifth crash."""
COUNTED_CRASHES = 5
"""Number of the crash from which arrivals are counted."""
HARMFUL_PART = "bad0"
"""Id of the part that crashes targets."""
COMMON_PART = "c0ffee"
"""Id of the first part that harmful requests share with half of the sound ones."""
OTHER_PART = "d0d0"
"""Id of the first part of the other sound requests."""
REQUEST_INTERVAL = 0.1
"""Seconds between two requests."""
HARMFUL_SHARE = 4
"""One request in this many holds the harmful part."""


class PartCrashingTarget(CrashingTarget):
    """Stub target that crashes on a prompt part, whatever else a request holds.

    Attributes:
        unframed: Whether its answers have neither a length nor chunks.
    """

    unframed = False

    async def _answer(self, exchange):
        prefix = exchange.request.headers.get("x-bronzepoint-prompt-prefix", "")
        names = [item.partition(":")[0] for item in prefix.split(",")]
        if HARMFUL_PART not in names[:-1]:
            await super()._answer(exchange)
            return
        await exchange.body()
        self.arrivals.append(monotonic())
        if self.unframed:
            await self._end_unframed(exchange)
        else:
            await self._begin(exchange)

    async def _end_unframed(self, exchange):
        """Crash after an event, so that the answer ends like a whole one."""
        lines = "".join(f"{k}: {v}\r\n" for k, v in self._headers(exchange).items())
        head = f"HTTP/1.1 200 OK\r\nConnection: close\r\n{lines}\r\n"
        await exchange._wire.send(head.encode() + b"id: 1\ndata: 1\n\n", 1.0)
        await curio.sleep(CRASH_DELAY)
        exchange._wire.finish_sending()
        await self.crash()
        # The crash ends this exchange.
        await curio.sleep(CONTACT)


class HarmfulPartSite(CrashingSite):
    """Host processes with targets that crash on a prompt part.

    Args:
        unframed: Whether answers to it have neither a length nor chunks.
        **more: Arguments of `CrashingSite`.
    """

    def __init__(self, unframed=False, **more):
        super().__init__(**more)
        self.unframed = unframed

    def make_target(self, name, ip, port):
        target = PartCrashingTarget(name, ip, port, self, self.keeps_id, self.queue)
        target.unframed = self.unframed
        return target


@dataclass
class SentRequest:
    """A request of a caller, with its outcome.

    Attributes:
        sent_at: Monotonic time at which it was sent.
        parts: Ids of the parts of its prompt.
        status: Status of the answer, or name of the error.
        seconds: Time until the answer.
    """

    sent_at: float
    parts: list
    status: object
    seconds: float


@dataclass
class PartCallers:
    """Callers whose requests are all different, but share parts of their prompts.

    Attributes:
        site: The deployment.
        path: Path of all requests.
        position: Position of the harmful part in the prompt.
        sent: Requests that have ended.
        stop: Whether to send no further requests.
    """

    site: HarmfulPartSite
    path: str
    position: int = 1
    sent: list = field(default_factory=list)
    stop: bool = False

    def parts(self, number):
        """Return the parts of a request; the last one is its own."""
        own = f"{number:08x}"
        middle = f"e{number % 3}"
        if number % HARMFUL_SHARE == 0:
            parts = [COMMON_PART, middle, f"f{number % 5}"]
            parts.insert(self.position, HARMFUL_PART)
            return [*parts, own]
        return [COMMON_PART if number % 2 else OTHER_PART, middle, own]

    async def run(self, seconds):
        """Send requests to all hosts in turn."""
        end = monotonic() + seconds
        for number in itertools.count():
            if monotonic() > end or self.stop:
                break
            addresses = self.site.addresses()
            # The shift lets each host receive each kind of request.
            address = addresses[(number + number // 12) % len(addresses)]
            await curio.spawn(self._send, number, address, daemon=True)
            await curio.sleep(REQUEST_INTERVAL)
        await curio.sleep(0.5)

    async def _send(self, number, address):
        began = monotonic()
        parts = self.parts(number)
        headers = {
            "X-Bronzepoint-Request-Id": f"part-{number}",
            "X-Bronzepoint-Deadline-Ms": "4000",
            "X-Bronzepoint-Token-Usage": "100,20",
            "X-Bronzepoint-Prompt-Prefix": ",".join(f"{name}:20" for name in parts),
        }
        body = b"prompt %d" % number
        try:
            answer = await self.site.call(
                "POST", self.path, body, address, headers, wait=4.0
            )
            status = answer.status
        except HttpError as exc:
            status = type(exc).__name__
        self.sent.append(SentRequest(began, parts, status, monotonic() - began))

    def late_arrivals(self):
        """Return the arrivals that count against ``MAX_ARRIVALS``."""
        crashes = self.site.crashes()
        if len(crashes) < COUNTED_CRASHES:
            return []
        counted_from = crashes[COUNTED_CRASHES - 1] + CONTACT
        return [at for at in self.site.arrivals() if at > counted_from]

    def sound_success_rate(self):
        """Return the share of sound requests with the common part that were answered.

        It counts from the time by which the harmful part has to be known.
        """
        last = self.site.crashes()[:COUNTED_CRASHES][-1]
        answered = [
            each.status == 200
            for each in self.sent
            if each.sent_at > last + 2 * CONTACT
            and each.parts[0] == COMMON_PART
            and HARMFUL_PART not in each.parts
        ]
        assert len(answered) >= 20, f"only {len(answered)} requests to judge by"
        return sum(answered) / len(answered)
