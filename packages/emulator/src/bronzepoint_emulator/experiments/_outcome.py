"""Outcome of a request, as observed by its caller."""

from msgspec import Struct


class Outcome(Struct):
    """Outcome of one request.

    Attributes:
        first_token: Seconds from the scheduled sending to the first token; None if
            there was none.
        answered: Whether the complete answer was received.
        refusal: Kind of the refusal or connection error; empty if there was none.
        served_in: Region that answered or refused.
    """

    at: float
    home: str
    owner: str
    worth: float
    first_token: float | None = None
    answered: bool = False
    refusal: str = ""
    served_in: str = ""


__all__ = ["Outcome"]
