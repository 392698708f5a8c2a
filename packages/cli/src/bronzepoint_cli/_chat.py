"""A model call with a streamed answer."""

import msgspec

from bronzepoint_cli._errors import (
    AnswerIncomplete,
    NoHostReachable,
    RefusedByHost,
    TargetError,
)
from bronzepoint_cli._event_stream import END, EventStream
from bronzepoint_cli._gateway import RETRYABLE_REFUSALS, Gateway, Purpose, read_refusal
from bronzepoint_cli._output import print_origin
from bronzepoint_common.http import Answer, ClientAnswer, HttpError

PATH = "/v1/chat/completions"
MAX_ERROR_TEXT = 500
"""Maximum number of characters shown of an error sent by a target."""


class Delta(msgspec.Struct):
    """Text added by a chunk."""

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk; only the first one is used."""

    delta: Delta = msgspec.field(default_factory=Delta)


class Chunk(msgspec.Struct):
    """One event of a streamed chat completion."""

    choices: list[Choice] = msgspec.field(default_factory=list)


def chat_body(entry: str, prompt: str, max_tokens: int) -> bytes:
    """Return the request body of a streamed chat completion."""
    return msgspec.json.encode(
        {
            "model": entry,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
        }
    )


class ChatCall:
    """A chat request whose answer is printed while it arrives.

    Args:
        entry: Catalogue entry.
        prompt: Text of the only message.
        max_tokens: Maximum number of tokens to generate.
        headers: Additional request headers, without the token.
    """

    def __init__(
        self, entry: str, prompt: str, max_tokens: int, headers: dict[str, str]
    ) -> None:
        self._headers = headers
        self._body = chat_body(entry, prompt, max_tokens)
        self._printed = False

    async def run(self, gateway: Gateway) -> None:
        """Try one host after another until one starts to answer.

        Raises:
            AnswerIncomplete: The answer was truncated after a part was printed. It
                isn't retried, as another answer would not continue this one.
        """
        await gateway.follow_directory()
        try:
            await self._try_each_host(gateway)
        finally:
            if self._printed:
                print(flush=True)

    async def _try_each_host(self, gateway: Gateway) -> None:
        headers = gateway.headers() | self._headers
        refused: RefusedByHost | None = None
        problems: list[str] = []
        for address in gateway.hosts:
            try:
                await self._try_host(gateway, address, headers)
                return
            except HttpError as exc:
                if self._printed:
                    raise AnswerIncomplete(str(exc)) from exc
                problems.append(str(exc))
            except RefusedByHost as exc:
                if exc.refusal.kind not in RETRYABLE_REFUSALS:
                    raise
                refused = exc
        if refused is not None:
            raise refused
        raise NoHostReachable(problems)

    async def _try_host(
        self, gateway: Gateway, address: str, headers: dict[str, str]
    ) -> None:
        timeout = max(gateway.remaining(), 1.0)
        stream = gateway.http.stream(
            address, "POST", PATH, headers, self._body, timeout
        )
        async with stream as answer:
            if answer.status >= 400:
                body = b"".join([chunk async for chunk in answer.chunks()])
                whole = Answer(answer.status, answer.headers, body)
                refused = read_refusal(address, whole, Purpose.call)
                raise refused or _target_error(whole)
            await self._print(answer)

    async def _print(self, answer: ClientAnswer) -> None:
        events = EventStream()
        ended = False
        async for chunk in answer.chunks():
            for data in events.feed(chunk):
                ended = ended or data == END
                if not ended:
                    self._print_chunk(data)
        if not ended:
            raise AnswerIncomplete("it has no last event")
        print_origin(answer.headers)

    def _print_chunk(self, data: str) -> None:
        try:
            chunk = msgspec.json.decode(data, type=Chunk)
        except msgspec.DecodeError as exc:
            raise AnswerIncomplete(f"an event can't be read: {exc}") from exc
        for choice in chunk.choices[:1]:
            if choice.delta.content:
                self._printed = True
                print(choice.delta.content, end="", flush=True)


def _target_error(answer: Answer) -> TargetError:
    text = answer.body.decode("utf-8", "replace")[:MAX_ERROR_TEXT]
    return TargetError(f"the target answered with status {answer.status}: {text}")


__all__ = ["ChatCall", "chat_body"]
