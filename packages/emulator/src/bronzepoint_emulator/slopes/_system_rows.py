"""A measurement on a deployment."""

from msgspec import Struct

from bronzepoint_emulator.slopes._meter import Usage


class SystemRow(Struct):
    """Resource use of one host at one size.

    Attributes:
        size: Rate per second, or number of items, depending on the slope.
        count: Requests or changes during the interval; 0 for a slope of items.
        use: Use minus that of an idle host if ``count`` is not 0, else use while idle.
    """

    slope: str
    role: str
    size: float
    count: int
    use: Usage
