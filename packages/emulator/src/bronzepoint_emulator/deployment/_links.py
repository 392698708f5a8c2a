"""The links between hosts, which run through the fault proxy."""

import itertools
from collections.abc import Iterable

import msgspec

from bronzepoint_emulator.deployment._client import Client
from bronzepoint_emulator.deployment._errors import RequestFailed
from bronzepoint_emulator.deployment._layout import Layout
from bronzepoint_emulator.deployment._ports import PortBlock
from bronzepoint_emulator.deployment._settings import HostAddresses
from bronzepoint_schema.generated.emulator import (
    LinkFault,
    LinkFaults,
    LinkMode,
    LinkSpec,
    ProxyPlan,
)
from bronzepoint_schema.ids import HostName

KINDS = ("peer", "http")
"""Listeners of a host, each with links of its own."""


def link_name(source: str, sink: str, kind: str) -> str:
    """Return the name of the link on which ``source`` connects to ``sink``."""
    return f"{source}>{sink}/{kind}"


class Links:
    """Plans the links of a layout and sets their faults.

    Each ordered pair of hosts has links of its own, so that a fault can affect a single
    direction.

    Args:
        layout: The deployment.
        hosts: Addresses that the hosts listen on.
        ports: Source of free ports.
    """

    def __init__(
        self,
        layout: Layout,
        hosts: dict[HostName, HostAddresses],
        ports: PortBlock,
    ) -> None:
        self._layout = layout
        self._addresses: dict[HostName, dict[HostName, HostAddresses]] = {}
        specs: list[LinkSpec] = []
        for source, sink in itertools.permutations(layout.hosts, 2):
            delay = 0.0 if source.region == sink.region else layout.region_delay
            proxied = HostAddresses(http=ports.address(), peer=ports.address())
            real = hosts[sink.name]
            self._addresses.setdefault(source.name, {})[sink.name] = proxied
            names = [link_name(source.name, sink.name, kind) for kind in KINDS]
            specs.append(LinkSpec(names[0], proxied.peer, real.peer, delay))
            specs.append(LinkSpec(names[1], proxied.http, real.http, delay))
        self.plan = ProxyPlan(control=ports.address(), links=specs)
        self._delays = {spec.link: spec.delay for spec in specs}
        self._client = Client(self.plan.control)

    def addresses_for(self, host: HostName) -> dict[HostName, HostAddresses]:
        """Return the addresses through which one host reaches the others."""
        return self._addresses[host]

    def set_modes(self, modes: dict[str, LinkMode]) -> None:
        """Set the modes of several links, by name, in one request."""
        faults = [
            LinkFault(link=name, mode=mode, delay=self._delays[name])
            for name, mode in modes.items()
        ]
        self.change(faults)

    def change(self, faults: Iterable[LinkFault]) -> None:
        """Set the faults of links."""
        body = msgspec.json.encode(LinkFaults(links=list(faults)))
        reply = self._client.post("/links", body)
        if reply.status != 200:
            raise RequestFailed("A change of links", reply.status, reply.body)

    def cut(self, a: str, b: str) -> None:
        """Partition two hosts from each other; connections stay open."""
        self.set_modes(_pair_modes(a, b, LinkMode.cut, LinkMode.cut))

    def cut_one_way(self, source: str, sink: str) -> None:
        """Block all traffic from ``source`` to ``sink``."""
        self.set_modes(
            _pair_modes(source, sink, LinkMode.cut_forward, LinkMode.cut_backward)
        )

    def heal_pair(self, a: str, b: str) -> None:
        """Clear the faults of the links between two hosts."""
        self.set_modes(_pair_modes(a, b, LinkMode.pass_, LinkMode.pass_))

    def heal(self) -> None:
        """Clear all faults; buffered bytes are delivered."""
        self.set_modes(dict.fromkeys(self._delays, LinkMode.pass_))

    def isolate(self, hosts: Iterable[str]) -> None:
        """Partition these hosts from all others; connections stay open."""
        inside = set(hosts)
        outside = [host.name for host in self._layout.hosts if host.name not in inside]
        modes: dict[str, LinkMode] = {}
        for a, b in itertools.product(sorted(inside), outside):
            modes |= _pair_modes(a, b, LinkMode.cut, LinkMode.cut)
        self.set_modes(modes)


def _pair_modes(
    a: str, b: str, from_a: LinkMode, from_b: LinkMode
) -> dict[str, LinkMode]:
    """Return the modes of all links between two hosts, by link name."""
    modes = {link_name(a, b, kind): from_a for kind in KINDS}
    return modes | {link_name(b, a, kind): from_b for kind in KINDS}
