"""The links between hosts, each behind the fault proxy."""

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


def link_name(source: str, sink: str, kind: str) -> str:
    """Return the name of the link on which ``source`` connects to ``sink``."""
    return f"{source}>{sink}/{kind}"


class Links:
    """Plans the links of a layout and brings faults onto them.

    Each host reaches each other host over links of its own, so that a fault can hit
    one direction of one pair.

    Args:
        layout: The deployment.
        hosts: Where the hosts really listen.
        ports: Where free ports come from.
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
            seen = HostAddresses(http=ports.address(), peer=ports.address())
            real = hosts[sink.name]
            self._addresses.setdefault(source.name, {})[sink.name] = seen
            names = [link_name(source.name, sink.name, kind) for kind in KINDS]
            specs.append(LinkSpec(names[0], seen.peer, real.peer, delay))
            specs.append(LinkSpec(names[1], seen.http, real.http, delay))
        self.plan = ProxyPlan(control=ports.address(), links=specs)
        self._delays = {spec.link: spec.delay for spec in specs}
        self._client = Client(self.plan.control)

    def seen_by(self, host: HostName) -> dict[HostName, HostAddresses]:
        """Return the addresses at which one host reaches the others."""
        return self._addresses[host]

    def set_modes(self, modes: dict[str, LinkMode]) -> None:
        """Set the modes of links, by name, all together."""
        faults = [
            LinkFault(link=name, mode=mode, delay=self._delays[name])
            for name, mode in modes.items()
        ]
        self.change(faults)

    def change(self, faults: Iterable[LinkFault]) -> None:
        """Bring faults onto links."""
        body = msgspec.json.encode(LinkFaults(links=list(faults)))
        reply = self._client.post("/links", body)
        if reply.status != 200:
            raise RequestFailed("A change of links", reply.status, reply.body)

    def cut(self, a: str, b: str) -> None:
        """Cut two hosts off from each other, in silence and both ways."""
        self.set_modes(_both(a, b, LinkMode.cut, LinkMode.cut))

    def cut_one_way(self, source: str, sink: str) -> None:
        """Hold back everything that goes from ``source`` to ``sink``."""
        self.set_modes(_both(source, sink, LinkMode.cut_forward, LinkMode.cut_backward))

    def heal_pair(self, a: str, b: str) -> None:
        """Let two hosts reach each other again."""
        self.set_modes(_both(a, b, LinkMode.pass_, LinkMode.pass_))

    def heal(self) -> None:
        """Take every fault away; what was held back is delivered."""
        self.set_modes(dict.fromkeys(self._delays, LinkMode.pass_))

    def isolate(self, hosts: Iterable[str]) -> None:
        """Cut these hosts off from all others, in silence and both ways."""
        inside = set(hosts)
        outside = [host.name for host in self._layout.hosts if host.name not in inside]
        modes: dict[str, LinkMode] = {}
        for a, b in itertools.product(sorted(inside), outside):
            modes |= _both(a, b, LinkMode.cut, LinkMode.cut)
        self.set_modes(modes)


def _both(a: str, b: str, from_a: LinkMode, from_b: LinkMode) -> dict[str, LinkMode]:
    """Return the modes of all links between two hosts, by who connects."""
    modes = {link_name(a, b, kind): from_a for kind in KINDS}
    return modes | {link_name(b, a, kind): from_b for kind in KINDS}
