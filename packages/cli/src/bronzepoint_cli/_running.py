"""Runs the asynchronous part of a command."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio
import typer

from bronzepoint_cli._errors import Interrupted
from bronzepoint_cli._gateway import Gateway
from bronzepoint_cli._profile import Profile

T = TypeVar("T")


def run_with_gateway(
    context: typer.Context, act: Callable[[Gateway], Awaitable[T]]
) -> T:
    """Run `act` with the gateway of this command, and close the gateway afterwards.

    Raises:
        Interrupted: Ctrl-C was pressed; the message says how to resend the request in
            flight.
    """

    profile: Profile = context.obj
    gateway = Gateway(profile)

    async def run() -> T:
        try:
            return await act(gateway)
        finally:
            await gateway.close()

    try:
        return curio.run(run)
    except KeyboardInterrupt:
        raise Interrupted(gateway.advice) from None


__all__ = ["run_with_gateway"]
