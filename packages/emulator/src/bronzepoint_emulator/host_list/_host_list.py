"""A host list that shows each change after a fixed lag."""

import time

import msgspec

from bronzepoint_common.http import Exchange, HttpServer
from bronzepoint_emulator._serving import JSON_HEADERS, stub_limits
from bronzepoint_schema.generated.emulator import HostListPlan, ListedHostChange
from bronzepoint_schema.generated.platform import HostList, ListedHost, ListedState
from bronzepoint_schema.ids import TargetName


class HostListStub:
    """Serves ``GET /hosts``; ``POST /control`` changes one host's state.

    Args:
        plan: Address, hosts and lag (s).
    """

    def __init__(self, plan: HostListPlan) -> None:
        self._plan = plan
        now = time.time() - plan.lag
        self._changes = [ListedHost(name, ListedState.live, now) for name in plan.hosts]
        self._server = HttpServer(self._handle, stub_limits())

    async def start(self) -> None:
        """Start serving."""
        await self._server.start(self._plan.listen)

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close(0.0)

    async def _handle(self, exchange: Exchange) -> None:
        match (exchange.request.method, exchange.request.path):
            case ("GET", "/hosts"):
                body = msgspec.json.encode(self.listed())
                await exchange.respond(200, JSON_HEADERS, body)
            case ("POST", "/control"):
                body = await exchange.body()
                change = msgspec.json.decode(body, type=ListedHostChange)
                self.change(change.name, ListedState(change.state))
                await exchange.respond(200, JSON_HEADERS, b"{}")
            case _:
                await exchange.respond(404, JSON_HEADERS, b"{}")

    def change(self, name: TargetName, state: ListedState) -> None:
        """Change a host's state; visible in the list after the lag."""
        self._changes.append(ListedHost(name, state, time.time()))

    def listed(self) -> HostList:
        """Return the list as it was ``lag`` seconds ago."""
        as_of = time.time() - self._plan.lag
        states = {
            change.name: change.state
            for change in self._changes
            if change.as_of <= as_of
        }
        return HostList(
            hosts=[ListedHost(name, state, as_of) for name, state in states.items()]
        )
