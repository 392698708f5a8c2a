"""HTTP limits and main loop shared by the stubs' commands."""

from typing import Protocol

import curio

from bronzepoint_common.http import HttpLimits
from bronzepoint_common.signals import SignalWaiter

IDLE_TIMEOUT = 300.0
"""Seconds after which an idle connection is closed, by default."""
JSON_HEADERS = {"content-type": "application/json"}


class Service(Protocol):
    """A server that is started and closed explicitly."""

    async def start(self) -> None:
        """Start serving."""

    async def close(self) -> None:
        """Stop serving."""


def stub_limits(idle_timeout: float = IDLE_TIMEOUT) -> HttpLimits:
    """Return generous HTTP limits, since no test sends abusive requests to a stub."""
    return HttpLimits(
        max_head=65536,
        max_body=16 * 1024 * 1024,
        max_connections=10000,
        head_timeout=30.0,
        idle_timeout=idle_timeout,
        write_timeout=60.0,
    )


def serve(service: Service) -> None:
    """Run a stub until SIGINT or SIGTERM."""
    curio.run(_serve_until_signal, service)


async def _serve_until_signal(service: Service) -> None:
    async with SignalWaiter() as waiter:
        await service.start()
        await waiter.wait()
        await service.close()
