"""All links of a deployment in one process, with an HTTP control endpoint."""

import msgspec

from bronzepoint_common.http import Exchange, HttpServer
from bronzepoint_emulator._serving import JSON_HEADERS, stub_limits
from bronzepoint_emulator.fault_proxy._link import Link
from bronzepoint_schema.generated.emulator import LinkFault, LinkFaults, ProxyPlan


class FaultProxy:
    """Proxies the links of a plan; ``POST /links`` sets faults on several.

    Args:
        plan: The links, and the address of the control endpoint.
    """

    def __init__(self, plan: ProxyPlan) -> None:
        self._plan = plan
        self._links = {spec.link: Link(spec) for spec in plan.links}
        self._server = HttpServer(self._handle, stub_limits())

    async def start(self) -> None:
        """Start listening on every link, then on the control endpoint."""
        for link in self._links.values():
            await link.start()
        await self._server.start(self._plan.control)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        await self._server.close(timeout=0.0)
        for link in self._links.values():
            await link.close()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.request.method == "POST":
            faults = msgspec.json.decode(await exchange.body(), type=LinkFaults)
            unknown = [f.link for f in faults.links if f.link not in self._links]
            if unknown:
                body = msgspec.json.encode(unknown)
                await exchange.respond(404, JSON_HEADERS, body)
                return
            await self._set_faults(faults.links)
        states = LinkFaults(links=[link.fault for link in self._links.values()])
        await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(states))

    async def _set_faults(self, faults: list[LinkFault]) -> None:
        for fault in faults:
            await self._links[fault.link].set_fault(fault)
