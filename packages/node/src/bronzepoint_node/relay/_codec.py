"""Interface between the relay and the headers that callers and targets use."""

from enum import Enum
from typing import Protocol

from msgspec import Struct

from bronzepoint_common.http import Request
from bronzepoint_node.placement import Prompt
from bronzepoint_schema.ids import KeyDigest, OrganisationName


class CallerHead(Struct, frozen=True):
    """Parsed headers of a caller's request.

    Attributes:
        request_id: The caller's id of this attempt; empty: none.
        host: Host name that the request was sent to.
        deadline: Seconds for which the caller waits; None: not specified.
        prompt: Prompt sizes and prefixes that the request declares; None: none.
        last_event: Id of the event after which a stream resumes; None: from the start.
        headers: Headers to pass to the target unchanged; never contains an API key.
        key: Digest of the caller's API key; None: no key was sent.
        tokens: Maximum tokens of the prompt and the answer; None: not specified.
        resumes: Id of the caller's attempt that brought the first event of the stream
            that this request resumes; None: not specified.
    """

    request_id: str
    host: str
    deadline: float | None
    prompt: Prompt | None
    last_event: str | None
    headers: dict[str, str]
    key: KeyDigest | None = None
    tokens: int | None = None
    resumes: str | None = None


class TargetVerdict(Enum):
    """Classification of a target's answer by its status and headers.

    Attributes:
        ANSWER: An answer to the request.
        NOT_RUN: The target rejected the request without running it.
        REPLACED: Another incarnation of the target is running at this address.
        OTHER_REQUEST: The answer belongs to another request.
    """

    ANSWER = "answer"
    NOT_RUN = "not_run"
    REPLACED = "replaced"
    OTHER_REQUEST = "other_request"


class CopyInstructions(Struct, frozen=True):
    """Instructions to a target to copy cached prompt data for one request.

    Attributes:
        fetch_from: Address of a target that has more of the prompt cached; empty: none.
    """

    fetch_from: str = ""


class Codec(Protocol):
    """Translates between HTTP headers and the relay's types."""

    def read_request(self, request: Request) -> CallerHead:
        """Parse the headers of a caller's request.

        Raises:
            BadRequest: A header is invalid.
        """

    def target_headers(
        self,
        head: CallerHead,
        time_left: float,
        incarnation: str,
        priority: int | None,
        last_event: str | None,
        copy_instructions: CopyInstructions | None = None,
        organisation: OrganisationName | None = None,
    ) -> dict[str, str]:
        """Return the headers of a request to a target.

        Args:
            head: The caller's request.
            time_left: Seconds until the deadline.
            incarnation: The only incarnation of the target that may run the request;
                empty: any.
            priority: Rank in the target's queue; None: omitted.
            last_event: Id of the event after which the stream resumes.
            copy_instructions: Data for the target to copy; None: nothing.
            organisation: Organisation of the caller; None: omitted.
        """

    def classify_answer(
        self, head: CallerHead, status: int, headers: dict[str, str]
    ) -> TargetVerdict:
        """Classify an answer by its status and headers."""

    def request_limit(self, headers: dict[str, str]) -> float | None:
        """Return the requests per second that a target limits itself to; None: none.

        Raises:
            ValueError: The limit is not a number of requests.
        """

    def requested_rest(self, status: int, headers: dict[str, str]) -> float:
        """Return the seconds for which a target wants no requests of this host.

        0: it asks for none.

        Raises:
            ValueError: The time can't be read.
        """

    def says_leaving(self, headers: dict[str, str]) -> bool:
        """Return whether a target says that it is leaving and wants no requests."""

    def answer_headers(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of a target's answer that the caller receives."""
