"""Several stand-ins in one process."""

from collections.abc import Sequence

from bronzepoint_emulator._serving import Service


class ServiceGroup:
    """Starts and closes several stand-ins together."""

    def __init__(self, services: Sequence[Service]) -> None:
        self._services = list(services)

    async def start(self) -> None:
        """Start all of them."""
        for service in self._services:
            await service.start()

    async def close(self) -> None:
        """Close all of them, the last one first."""
        for service in reversed(self._services):
            await service.close()
