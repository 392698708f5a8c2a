"""One measurement on a deployment."""

from msgspec import Struct

from bronzepoint_emulator.slopes._meter import Usage


class SystemRow(Struct):
    """Use of one host at one size.

    Attributes:
        size: Rate a second, or number of items; see the slope.
        count: Requests or changes that the use is for; 0 for a slope of items.
        use: Above idle where there is a count, else while idle.
    """

    slope: str
    role: str
    size: float
    count: int
    use: Usage
