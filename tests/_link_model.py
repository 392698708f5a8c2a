"""A link of a host with bounded bandwidth, on a clock of its own."""

import msgspec

from bronzepoint_common.peers import PeerTimeout
from bronzepoint_schema.generated.fleet import FleetMessage

TRIP = 0.0004
"""Seconds there and back inside a data center."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetMessage)


class LinkModel:
    """Stands for a host's links to its peers: calls are answered as the link allows.

    Answers go one after another. One that comes after its timeout has taken up the link
    all the same, as on a real one, where it can't be called back.

    Args:
        bandwidth: Bytes a second.
        on_time: Awaited with the present time before each answer is made.

    Attributes:
        carried: Bytes of all answers.
        late: Answers that came after their timeout.
    """

    def __init__(self, bandwidth, on_time):
        self.carried = 0
        self.late = 0
        self._bandwidth = bandwidth
        self._on_time = on_time
        self._now = 0.0
        self._free_at = 0.0
        self._handle = None

    def answer_with(self, handle):
        self._handle = handle

    def register(self, area, union, handler):
        pass

    def now(self):
        return self._now

    def pass_time(self, seconds):
        self._now += seconds

    async def call(self, peer, area, message, timeout, on_late=None):
        await self._on_time(self._now)
        answer = _encoder.encode(await self._handle("h", message))
        self.carried += len(answer)
        arrives = max(self._now, self._free_at) + len(answer) / self._bandwidth + TRIP
        self._free_at = arrives
        if arrives - self._now > timeout:
            self.late += 1
            self._now += timeout
            raise PeerTimeout(peer, timeout)
        self._now = arrives
        return _decoder.decode(answer)
