"""Requests to the hosts, with another host tried where one can't answer."""

import time
from enum import Enum, auto
from typing import TypeVar
from urllib.parse import quote

import curio
import msgspec

from bronzepoint_cli._errors import AnswerUnreadable, NoHostReachable, RefusedByHost
from bronzepoint_cli._profile import Profile
from bronzepoint_common.http import Answer, HttpClient, HttpError, HttpLimits
from bronzepoint_schema.generated.admin import DirectoryAnswer
from bronzepoint_schema.generated.decisions import ErrorBody, RefusalKind

T = TypeVar("T")

CONNECT_TIMEOUT = 2.0
TRY_TIMEOUT = 10.0
"""Seconds for one try at one host."""
MAX_ANSWER = 64 * 1024 * 1024
"""Bytes: a catalogue of thousands of items comes in one answer."""
SHORTEST_WAIT = 0.2
"""Seconds between two rounds over the hosts where none says how long to wait."""

REFUSAL_HEADER = "bronzepoint-refusal"
"""Stands in a host's refusals; a target's own error has none."""

READING = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods that change nothing, so they carry no idempotency key."""

ELSEWHERE = frozenset(
    {
        RefusalKind.draining,
        RefusalKind.not_ready,
        RefusalKind.not_leader,
        RefusalKind.region_unreachable,
        RefusalKind.run_records_unavailable,
        RefusalKind.run_in_progress,
    }
)
"""Refusals that another host, or the same one later, may not give."""


class Purpose(Enum):
    """What a request is for, which says what its refusal means."""

    question = auto()
    """Reads something of a host; nothing can have run."""
    change = auto()
    """Changes something of the system."""
    call = auto()
    """Goes on to a target; an error may be the target's own."""


class Gateway:
    """The hosts of one system, seen from outside.

    Every request sent through here may be sent again: reading, a change with its
    change id, or a call with its idempotency key. So a lost answer is no reason to
    stop: the same bytes go to the next host.

    Args:
        profile: Hosts, token and time.

    Attributes:
        advice: How to send the request that is on its way again; empty: there is none,
            or sending it again needs no care.
    """

    def __init__(self, profile: Profile) -> None:
        self.profile = profile.require()
        self.advice = ""
        limits = HttpLimits(max_body=MAX_ANSWER)
        self.http = HttpClient(limits, CONNECT_TIMEOUT)
        self._hosts = list(profile.hosts)
        self._deadline = time.monotonic() + profile.timeout

    async def close(self) -> None:
        """Close the connections."""
        await self.http.close()

    @property
    def hosts(self) -> list[str]:
        """Addresses in the order in which they are tried."""
        return self._hosts

    def prefer(self, addresses: list[str]) -> None:
        """Try these hosts first, then those of the profile."""
        rest = [address for address in self.profile.hosts if address not in addresses]
        self._hosts = [*addresses, *rest]

    def only(self, address: str) -> None:
        """Use this host and no other."""
        self._hosts = [address]

    def headers(self, **extra: str) -> dict[str, str]:
        """Return the headers that each request carries, and some more."""
        headers = {"Authorization": f"Bearer {self.profile.token}"}
        return headers | {name.replace("_", "-"): text for name, text in extra.items()}

    def remaining(self) -> float:
        """Return the seconds left for this command."""
        return max(self._deadline - time.monotonic(), 0.0)

    async def get(self, path: str, answer_type: type[T]) -> T:
        """Read something from the first host that answers."""
        headers = self.headers()
        answer = await self.send("GET", path, headers, b"", Purpose.question)
        return decode(answer, answer_type)

    async def get_from(self, address: str, path: str, answer_type: type[T]) -> T:
        """Read something from one host, and no other.

        Raises:
            HttpError: It gave no whole answer.
            RefusedByHost: It refused.
        """
        answer = await self._try(address, "GET", path, self.headers(), b"")
        refused = read_refusal(address, answer, Purpose.question)
        if refused is not None:
            raise refused
        return decode(answer, answer_type)

    async def follow_directory(self) -> DirectoryAnswer:
        """Ask which hosts to use, and try these from then on."""
        directory = await self.get("/v1/hosts", DirectoryAnswer)
        self.prefer([host.address for host in directory.hosts])
        return directory

    async def post(
        self, path: str, body: bytes, answer_type: type[T], advice: str = ""
    ) -> T:
        """Send something that may be sent again until a host has answered it."""
        headers = self.headers(Content_Type="application/json")
        answer = await self.send("POST", path, headers, body, Purpose.change, advice)
        return decode(answer, answer_type)

    async def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        purpose: Purpose,
        advice: str = "",
    ) -> Answer:
        """Send to one host after another until one accepts.

        Args:
            method: HTTP method.
            path: Path, with the query.
            headers: All headers.
            body: Whole body.
            purpose: What the request is for.
            advice: How to send it again in another run of the command; shown where its
                outcome stays unknown.

        Raises:
            RefusedByHost: A refusal that no other host would lift, or that was still
                given when the time ran out.
            NoHostReachable: No host gave a whole answer in time.
        """
        self.advice = advice
        while True:
            refusal, problems = None, []
            for address in self._hosts:
                try:
                    answer = await self._try(address, method, path, headers, body)
                except HttpError as exc:
                    problems.append(str(exc))
                    continue
                refused = read_refusal(address, answer, purpose, advice)
                if refused is None:
                    self.advice = ""
                    return answer
                if refused.refusal.kind not in ELSEWHERE:
                    raise refused
                refusal = refused
            # A read that fails is soon typed again; a change whose answer was lost
            # should not be left unknown while there is time.
            patient = method != "GET"
            await self._wait(refusal, problems, patient)

    async def _try(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Answer:
        timeout = min(TRY_TIMEOUT, max(self.remaining(), SHORTEST_WAIT))
        return await self.http.fetch(address, method, path, headers, body, timeout)

    async def _wait(
        self, refused: RefusedByHost | None, problems: list[str], patient: bool
    ) -> None:
        """Wait until another round makes sense; raise where there is no time for it."""
        pause = refused.refusal.retry_after if refused else 0.0
        pause = max(pause, SHORTEST_WAIT)
        if patient and pause < self.remaining():
            await curio.sleep(pause)
            return
        if refused:
            raise refused
        raise NoHostReachable(problems, self.advice)


def read_refusal(
    address: str, answer: Answer, purpose: Purpose, advice: str = ""
) -> RefusedByHost | None:
    """Return the refusal of an answer; None where it is none.

    An error of a call that is no refusal is the target's own answer.

    Raises:
        AnswerUnreadable: An error without a reason that can be read.
    """
    if answer.status < 400:
        return None
    if purpose is Purpose.call and REFUSAL_HEADER not in answer.headers:
        return None
    try:
        body = msgspec.json.decode(answer.body, type=ErrorBody)
    except msgspec.DecodeError as exc:
        raise AnswerUnreadable(address, f"status {answer.status}, {exc}") from exc
    return RefusedByHost(body.error, purpose is Purpose.question, advice)


def decode(answer: Answer, answer_type: type[T]) -> T:
    """Read the body of an answer.

    Raises:
        AnswerUnreadable: It is of another type.
    """
    try:
        return msgspec.json.decode(answer.body, type=answer_type)
    except msgspec.DecodeError as exc:
        raise AnswerUnreadable("the host", str(exc)) from exc


def path_part(text: str) -> str:
    """Return a text as one part of a path."""
    return quote(text, safe="")


__all__ = ["Gateway", "Purpose", "decode", "path_part", "read_refusal"]
