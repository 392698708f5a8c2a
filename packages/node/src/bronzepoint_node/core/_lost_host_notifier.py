"""Tells hosts that have lost contact with the core where it is."""

import random

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.fleet import CoreSearch, Registry
from bronzepoint_schema.generated.fleet import EntryState
from bronzepoint_schema.ids import HostName

START_DELAY = 2.0
"""Seconds after a start before the first check. The hosts restored from the disk count
as lost until the notices of the other core hosts have arrived."""
CHECK_INTERVAL = 0.5
"""Seconds between two checks for hosts to notify."""
MAX_HOSTS_PER_CHECK = 8
"""Maximum number of hosts that are notified at once."""
PAUSE_PER_SILENCE = 0.125
"""Pause until a host is notified again, as a part of the time for which it is lost. All
core hosts notify it, so that one that returns is told soon, and one that is gone for
good gets few messages."""
MIN_PAUSE = 1.0
"""Minimum seconds until a host is notified again."""
MAX_PAUSE = 300.0
"""Maximum seconds until a host is notified again."""


class LostHostNotifier:
    """Sends the list of core hosts to lost hosts of both roles that haven't left.

    A host that was cut off or restarted may know nobody who still runs at the address
    that it knows. Then only a host that remembers its address can restore the contact.

    Args:
        registry: Hosts known to this host.
        search: The core hosts to report; nothing is sent while contact is lost.
        peers: Links to the other hosts.
        metrics: Counts the messages.
    """

    def __init__(
        self,
        registry: Registry,
        search: CoreSearch,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        self._registry = registry
        self._search = search
        self._peers = peers
        self._metrics = metrics
        self._next_at: dict[HostName, float] = {}
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start to notify lost hosts."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop notifying."""
        if self._task is not None:
            await self._task.cancel()

    async def _run(self) -> None:
        await curio.sleep(START_DELAY)
        while True:
            self.notify()
            await curio.sleep(CHECK_INTERVAL)

    def notify(self) -> None:
        """Notify the lost hosts that are due."""
        lost = self._lost_hosts()
        self._next_at = {h: at for h, at in self._next_at.items() if h in lost}
        if self._search.has_lost_core:
            return
        now = monotonic()
        due = [host for host in lost if now >= self._next_at.get(host, 0.0)]
        random.shuffle(due)
        for host in due[:MAX_HOSTS_PER_CHECK]:
            pause = min(max(MIN_PAUSE, PAUSE_PER_SILENCE * lost[host]), MAX_PAUSE)
            self._next_at[host] = now + random.uniform(0.5, 1.5) * pause
            self._metrics.incr("core_search.notified")
            self._peers.post(host, Area.FLEET, self._search.report())

    def _lost_hosts(self) -> dict[HostName, float]:
        """Return the lost hosts with the seconds for which they are lost."""
        entries = self._registry.lost_entries()
        remaining = [host for host in entries if host.state is not EntryState.leaving]
        lost = [*self._registry.lost_core(), *remaining]
        return {host.name: host.age_ms / 1000 for host in lost}
