"""Several stubs in one process."""

from collections.abc import Sequence

from bronzepoint_emulator._serving import Service


class ServiceGroup:
    """Starts and closes several stubs together."""

    def __init__(self, services: Sequence[Service]) -> None:
        self._services = list(services)

    async def start(self) -> None:
        """Start all stubs, in order."""
        for service in self._services:
            await service.start()

    async def close(self) -> None:
        """Close all stubs in reverse order."""
        for service in reversed(self._services):
            await service.close()
