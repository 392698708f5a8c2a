"""Log lines and gauges for the states of a region's hosts."""

from collections.abc import Iterable

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.ids import HostName

_log = get_logger("membership")


class StateReport:
    """Logs each change of a host's state and sets gauges.

    Args:
        metrics: Receives one gauge per state.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._states: dict[HostName, HostState] = {}

    def update(self, infos: Iterable[HostInfo]) -> None:
        """Compare the states of the region's hosts with those of the last call."""
        counts = dict.fromkeys(HostState, 0)
        states = {}
        for info in infos:
            counts[info.state] += 1
            states[info.name] = info.state
            self._report(info)
        self._states = states
        for state, count in counts.items():
            self._metrics.gauge(f"membership.{state}", count)

    def _report(self, info: HostInfo) -> None:
        former = self._states.get(info.name)
        if info.state is former:
            return
        write = _log.info
        if former is not None and info.state in (HostState.suspect, HostState.dead):
            write = _log.warning
        write(
            "Host state changed",
            peer=info.name,
            state=info.state.value,
            former="" if former is None else former.value,
            silent_for=round(info.silent_for, 1),
        )
