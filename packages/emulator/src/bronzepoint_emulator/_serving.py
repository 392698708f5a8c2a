"""What every stand-in's command shares: limits, and a run until a signal comes."""

from typing import Protocol

import curio

from bronzepoint_common.http import HttpLimits
from bronzepoint_common.signals import SignalWaiter

IDLE_TIMEOUT = 300.0
JSON_HEADERS = {"content-type": "application/json"}


class Service(Protocol):
    """Something with an explicit start and close."""

    async def start(self) -> None:
        """Begin to serve."""

    async def close(self) -> None:
        """Stop."""


def stand_in_limits(idle_timeout: float = IDLE_TIMEOUT) -> HttpLimits:
    """Return generous limits: a stand-in is never what a test probes for abuse."""
    return HttpLimits(
        max_head=65536,
        max_body=16 * 1024 * 1024,
        max_connections=10000,
        head_timeout=30.0,
        idle_timeout=idle_timeout,
        write_timeout=60.0,
    )


def serve(service: Service) -> None:
    """Run a stand-in until SIGINT or SIGTERM."""
    curio.run(_serve_until_signal, service)


async def _serve_until_signal(service: Service) -> None:
    async with SignalWaiter() as waiter:
        await service.start()
        await waiter.wait()
        await service.close()
