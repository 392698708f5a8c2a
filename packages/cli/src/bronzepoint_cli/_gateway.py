"""Client of the gateway's hosts, with failover to other hosts."""

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
"""Seconds to connect to a host."""
TRY_TIMEOUT = 10.0
"""Seconds for one try at one host."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Maximum size of an answer in bytes; a whole catalogue comes in one answer."""
MIN_ROUND_WAIT = 0.2
"""Minimum seconds between two rounds over the hosts."""

REFUSAL_HEADER = "bronzepoint-refusal"
"""Header of refusals by a host; errors passed on from a target lack it."""

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Methods that change nothing, so that they need no idempotency key."""

RETRYABLE_REFUSALS = frozenset(
    {
        RefusalKind.draining,
        RefusalKind.not_ready,
        RefusalKind.not_leader,
        RefusalKind.region_unreachable,
        RefusalKind.run_records_unavailable,
        RefusalKind.run_in_progress,
    }
)
"""Refusals to retry, at another host or later at the same one."""


class Purpose(Enum):
    """Kind of a request, which determines how its refusal is reported."""

    query = auto()
    """Reads data from a host; nothing can have run."""
    change = auto()
    """Changes the state of the system."""
    call = auto()
    """Is passed on to a target; an error may come from the target."""


class Gateway:
    """Client of the hosts of one system.

    Every request sent by this class is safe to repeat: reads, changes with a change id,
    and calls with an idempotency key. If an answer is lost, the same request is sent to
    the next host.

    Args:
        profile: Hosts, token and timeout.

    Attributes:
        advice: How to resend the request in flight; empty if there is none, or if it
            can simply be repeated.
    """

    def __init__(self, profile: Profile) -> None:
        self.profile = profile.require()
        self.advice = ""
        limits = HttpLimits(max_body=MAX_ANSWER_BYTES)
        self.http = HttpClient(limits, CONNECT_TIMEOUT)
        self._hosts = list(profile.hosts)
        self._deadline = time.monotonic() + profile.timeout

    async def close(self) -> None:
        """Close the connections."""
        await self.http.close()

    @property
    def hosts(self) -> list[str]:
        """Addresses of the hosts in the order in which they are tried."""
        return self._hosts

    def prefer(self, addresses: list[str]) -> None:
        """Try these hosts first, then the other hosts of the profile."""
        rest = [address for address in self.profile.hosts if address not in addresses]
        self._hosts = [*addresses, *rest]

    def use_only(self, address: str) -> None:
        """Use this host and no other."""
        self._hosts = [address]

    def headers(self, **extra: str) -> dict[str, str]:
        """Return the headers of every request, plus the given ones."""
        headers = {"Authorization": f"Bearer {self.profile.token}"}
        return headers | {name.replace("_", "-"): text for name, text in extra.items()}

    def remaining(self) -> float:
        """Return the seconds left for this command."""
        return max(self._deadline - time.monotonic(), 0.0)

    async def get(self, path: str, answer_type: type[T]) -> T:
        """Read a resource from the first host that answers."""
        headers = self.headers()
        answer = await self.send("GET", path, headers, b"", Purpose.query)
        return decode(answer, answer_type)

    async def get_from(self, address: str, path: str, answer_type: type[T]) -> T:
        """Read a resource from one particular host.

        Raises:
            HttpError: The host gave no complete answer.
            RefusedByHost: The host refused the request.
        """
        answer = await self._try(address, "GET", path, self.headers(), b"")
        refused = read_refusal(address, answer, Purpose.query)
        if refused is not None:
            raise refused
        return decode(answer, answer_type)

    async def follow_directory(self) -> DirectoryAnswer:
        """Read the directory and try its hosts first from now on."""
        directory = await self.get("/v1/hosts", DirectoryAnswer)
        self.prefer([host.address for host in directory.hosts])
        return directory

    async def post(
        self, path: str, body: bytes, answer_type: type[T], advice: str = ""
    ) -> T:
        """Send a repeatable change until a host has answered it."""
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
        """Send a request to one host after another until one accepts it.

        Args:
            method: HTTP method.
            path: Path, including the query.
            headers: All headers.
            body: Complete body.
            purpose: Kind of the request.
            advice: How to resend the request in another run of the command; shown if
                its outcome remains unknown.

        Raises:
            RefusedByHost: The refusal isn't worth a retry, or the time ran out.
            NoHostReachable: No host gave a complete answer in time.
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
                if refused.refusal.kind not in RETRYABLE_REFUSALS:
                    raise refused
                refusal = refused
            # Users can easily repeat a failed read. The outcome of a change whose
            # answer was lost should be found out while there is time.
            retry = method != "GET"
            await self._wait(refusal, problems, retry)

    async def _try(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Answer:
        timeout = min(TRY_TIMEOUT, max(self.remaining(), MIN_ROUND_WAIT))
        return await self.http.fetch(address, method, path, headers, body, timeout)

    async def _wait(
        self, refused: RefusedByHost | None, problems: list[str], retry: bool
    ) -> None:
        """Wait before the next round; raise if there is no time for another one."""
        pause = refused.refusal.retry_after if refused else 0.0
        pause = max(pause, MIN_ROUND_WAIT)
        if retry and pause < self.remaining():
            await curio.sleep(pause)
            return
        if refused:
            raise refused
        raise NoHostReachable(problems, self.advice)


def read_refusal(
    address: str, answer: Answer, purpose: Purpose, advice: str = ""
) -> RefusedByHost | None:
    """Return the refusal in an answer, or None if it isn't a refusal.

    Errors of a call without the refusal header come from the target.

    Raises:
        AnswerUnreadable: The body of the refusal can't be decoded.
    """
    if answer.status < 400:
        return None
    if purpose is Purpose.call and REFUSAL_HEADER not in answer.headers:
        return None
    try:
        body = msgspec.json.decode(answer.body, type=ErrorBody)
    except msgspec.DecodeError as exc:
        raise AnswerUnreadable(address, f"status {answer.status}, {exc}") from exc
    return RefusedByHost(body.error, purpose is Purpose.query, advice)


def decode(answer: Answer, answer_type: type[T]) -> T:
    """Decode the body of an answer.

    Raises:
        AnswerUnreadable: The body isn't of the given type.
    """
    try:
        return msgspec.json.decode(answer.body, type=answer_type)
    except msgspec.DecodeError as exc:
        raise AnswerUnreadable("the host", str(exc)) from exc


def path_part(text: str) -> str:
    """Return the text quoted for use as a single path segment."""
    return quote(text, safe="")


__all__ = ["Gateway", "Purpose", "decode", "path_part", "read_refusal"]
