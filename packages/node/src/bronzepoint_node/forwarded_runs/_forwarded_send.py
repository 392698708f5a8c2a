"""Identifies one send of a request to a host of another region."""

from typing import NamedTuple

from bronzepoint_schema.ids import HostName

SEPARATOR = ";"


class ForwardedSend(NamedTuple):
    """One send of a request to a host of another region.

    Attributes:
        host: The forwarding host.
        send_id: Id of the send on that host.
    """

    host: HostName
    send_id: str

    def __str__(self) -> str:
        """Return the value of a header between hosts."""
        return f"{self.host}{SEPARATOR}{self.send_id}"

    @classmethod
    def parse(cls, text: str) -> "ForwardedSend | None":
        """Return the send in a header between hosts; None if there is none."""
        host, found, send_id = text.partition(SEPARATOR)
        return cls(HostName(host), send_id) if found else None
