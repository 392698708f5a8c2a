"""Run the asynchronous part of a command."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio
import typer

from bronzepoint_cli._gateway import Gateway
from bronzepoint_cli._profile import Profile

T = TypeVar("T")


def run_with_gateway(
    context: typer.Context, act: Callable[[Gateway], Awaitable[T]]
) -> T:
    """Run `act` with the gateway of this command, and close it afterwards."""

    async def run() -> T:
        profile: Profile = context.obj
        gateway = Gateway(profile)
        try:
            return await act(gateway)
        finally:
            await gateway.close()

    return curio.run(run)


__all__ = ["run_with_gateway"]
