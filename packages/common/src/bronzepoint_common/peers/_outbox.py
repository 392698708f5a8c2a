"""The sending side towards one peer."""

import pynng

_SEND_BUFFER = 128
"""Frames kept while the peer is slow or away; beyond it, sending says so."""
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 500


class Outbox:
    """A push socket that dials one peer and dials again after each loss.

    Args:
        address: The peer's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket = pynng.Push0(send_buffer_size=_SEND_BUFFER)
        self._socket.reconnect_time_min = _RECONNECT_MIN_MS
        self._socket.reconnect_time_max = _RECONNECT_MAX_MS
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, frame: bytes) -> bool:
        """Queue one frame; False where the queue is full."""
        try:
            self._socket.send(frame, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        """Drop what is queued and close the connection."""
        self._socket.close()
