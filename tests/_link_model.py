"""A simulated link with limited bandwidth and simulated time."""

import msgspec

from bronzepoint_common.peers import PeerTimeout
from bronzepoint_schema.generated.fleet import FleetMessage

ROUND_TRIP = 0.0004
"""Seconds of a round trip inside a data center."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetMessage)


class LinkModel:
    """Simulates the links of a host to its peers, in place of `Peers`.

    Answers are sent one after another. An answer that arrives after its timeout has
    used the link all the same, as on a real one.

    Args:
        bandwidth: Bytes a second.
        on_time: Awaited with the current time before each answer is created.

    Attributes:
        carried: Bytes of all answers.
        late: Number of answers that arrived after their timeout.
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

    async def call(self, peer, area, message, timeout, on_late_reply=None):
        await self._on_time(self._now)
        answer = _encoder.encode(await self._handle("h", message))
        self.carried += len(answer)
        arrives = (
            max(self._now, self._free_at) + len(answer) / self._bandwidth + ROUND_TRIP
        )
        self._free_at = arrives
        if arrives - self._now > timeout:
            self.late += 1
            self._now += timeout
            raise PeerTimeout(peer, timeout)
        self._now = arrives
        return _decoder.decode(answer)
