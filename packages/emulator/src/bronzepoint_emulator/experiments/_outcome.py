"""What became of one request, as its caller saw it."""

from msgspec import Struct


class Outcome(Struct):
    """One request's end.

    Attributes:
        first_token: seconds from the scheduled sending to the first token; None:
            there was none.
        answered: the whole answer came.
        refusal: kind of the refusal; empty: it was not refused.
        served_in: region that answered or refused.
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
