"""``bronzepoint send``: send a request with a caller's token."""

import sys
from typing import Annotated

import msgspec
import typer
import uuid_utils

from bronzepoint_cli._chat import ChatCall
from bronzepoint_cli._errors import TargetError, UsageFault
from bronzepoint_cli._gateway import SAFE_METHODS, Gateway, Purpose, path_part
from bronzepoint_cli._output import print_origin
from bronzepoint_cli._running import run_with_gateway
from bronzepoint_common.http import Answer


class RequestOptions(msgspec.Struct):
    """Options of a request that are sent as headers.

    Attributes:
        deadline: Seconds until the answer is worthless.
        worth: Worth of an answer in cost units.
        home_only: Whether the request must stay in the caller's home region.
    """

    deadline: float | None
    worth: float | None
    home_only: bool

    def headers(self) -> dict[str, str]:
        """Return the headers for the options that were set."""
        headers = {"Content-Type": "application/json"}
        if self.deadline is not None:
            headers["Bronzepoint-Deadline"] = f"{self.deadline:g}"
        if self.worth is not None:
            headers["Bronzepoint-Worth"] = f"{self.worth:g}"
        if self.home_only:
            headers["Bronzepoint-Residency"] = "home"
        return headers


def send(
    context: typer.Context,
    entry: Annotated[str, typer.Argument(help="Catalogue entry.")],
    text: Annotated[
        str, typer.Argument(help="Prompt; for a service, the body to send.")
    ] = "",
    path: Annotated[
        str, typer.Option(help="Path of a plain service, such as /phrases.")
    ] = "",
    method: Annotated[str, typer.Option(help="Method for a plain service.")] = "GET",
    key: Annotated[
        str,
        typer.Option(help="Idempotency key of an earlier try whose answer was lost."),
    ] = "",
    deadline: Annotated[
        float | None,
        typer.Option(min=0.001, help="Seconds until the answer is worth nothing."),
    ] = None,
    worth: Annotated[
        float | None, typer.Option(min=0, help="Worth of an answer, in cost units.")
    ] = None,
    home_only: Annotated[
        bool, typer.Option("--home-only", help="Stay in the caller's home region.")
    ] = False,
    max_tokens: Annotated[
        int, typer.Option(min=1, help="Maximum number of tokens to generate.")
    ] = 256,
) -> None:
    """Call a model or a plain service, and print the answer as it arrives.

    If a host can't be reached, the next one in the directory is tried. A call that may
    change something has an idempotency key, so that it runs at most once even if it is
    sent several times.

    Example: bronzepoint send phrasebook "Where is the pharmacy?"

    Example: bronzepoint send saved --method POST --path /phrases '{"text": "sawasdee"}'
    """
    options = RequestOptions(deadline, worth, home_only)
    if path:
        if not path.startswith("/"):
            raise UsageFault(f"--path {path!r} must begin with /")
        call = ServiceCall(entry, method.upper(), path, text.encode(), key, options)
        run_with_gateway(context, call.run)
        return
    if not text:
        raise UsageFault("a model needs a prompt; for a service, give --path")
    chat = ChatCall(entry, text, max_tokens, options.headers())
    run_with_gateway(context, chat.run)


class ServiceCall:
    """A call of a plain service."""

    def __init__(
        self,
        entry: str,
        method: str,
        path: str,
        body: bytes,
        key: str,
        options: RequestOptions,
    ) -> None:
        self._path = f"/v1/services/{path_part(entry)}{path}"
        self._method = method
        self._body = body
        self._options = options
        if not key and method not in SAFE_METHODS:
            key = str(uuid_utils.uuid7())
        self._key = key

    async def run(self, gateway: Gateway) -> None:
        """Send the call until it is answered, using the same key each time."""
        await gateway.follow_directory()
        headers = gateway.headers() | self._options.headers()
        advice = ""
        if self._key:
            headers["Idempotency-Key"] = self._key
            advice = f"send again with --key {self._key}: it runs at most once"
        answer = await gateway.send(
            self._method, self._path, headers, self._body, Purpose.call, advice
        )
        self._print(answer)

    def _print(self, answer: Answer) -> None:
        sys.stdout.buffer.write(answer.body)
        if not answer.body.endswith(b"\n"):
            sys.stdout.buffer.write(b"\n")
        sys.stdout.flush()
        print_origin(answer.headers)
        if answer.status >= 400:
            raise TargetError(f"the target answered with status {answer.status}")


__all__ = ["send"]
