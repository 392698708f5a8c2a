"""Which other regions this host can reach.

Addresses the load of a network partition between two regions: each forward to the
other region costs a connection timeout, host after host, unless the whole region is
skipped.
"""

from collections.abc import Iterable

from bronzepoint_schema.ids import RegionName

TIMEOUT_WINDOW = 5.0
"""Seconds within which connections to several hosts of a region must time out for the
region to be skipped."""
MIN_HOSTS_TIMED_OUT = 2
"""Number of these hosts. A single one may be dead or restarting."""
PROBE_INTERVAL = 2.0
"""Seconds between two requests that are forwarded to a skipped region to probe it."""
CORE_REPORT_VALIDITY = 2.0
"""Seconds for which a region counts as silent after a scheduler has said so. A host
with requests to forward gets such answers several times a second."""
CONTACT_VALIDITY = 1.0
"""Seconds for which an answer from a region proves that this host can reach it although
no core host of it is heard."""


class RegionReachability:
    """Records contacts with the hosts of other regions, without any I/O."""

    def __init__(self) -> None:
        self._timeouts: dict[RegionName, dict[str, float]] = {}
        self._contacts: dict[RegionName, float] = {}
        self._forwards: dict[RegionName, float] = {}
        self._silent: dict[RegionName, float] = {}

    def record_timeout(self, region: RegionName, host: str, now: float) -> None:
        """Record that a connection to a host of a region timed out."""
        self._timeouts.setdefault(region, {})[host] = now

    def record_contact(self, region: RegionName, now: float) -> None:
        """Record that a host of a region has answered this host."""
        self._contacts[region] = now
        self._timeouts.pop(region, None)

    def record_forward(self, region: RegionName, now: float) -> None:
        """Record that a request is forwarded to a region, perhaps as a probe."""
        self._forwards[region] = now

    def record_silent_regions(self, regions: Iterable[RegionName], now: float) -> None:
        """Record which regions a core host of this region does not hear.

        A region that is heard again is used again by all hosts.
        """
        silent = dict.fromkeys(regions, now)
        for region in self._silent.keys() - silent.keys():
            self._timeouts.pop(region, None)
        self._silent = silent

    def may_forward(self, region: RegionName, now: float) -> bool:
        """Return whether a region is usable: it is reachable, or is to be probed."""
        if not self.is_skipped(region, now):
            return True
        return now - self._forwards.get(region, float("-inf")) > PROBE_INTERVAL

    def is_skipped(self, region: RegionName, now: float) -> bool:
        """Return whether a region gets no requests except probes."""
        timeouts = self._timeouts.get(region, {})
        if len(timeouts) >= MIN_HOSTS_TIMED_OUT:
            latest = sorted(timeouts.values())[-MIN_HOSTS_TIMED_OUT:]
            if latest[-1] - latest[0] <= TIMEOUT_WINDOW:
                return True
        silent_at = self._silent.get(region, float("-inf"))
        if now - silent_at > CORE_REPORT_VALIDITY:
            return False
        return now - self._contacts.get(region, float("-inf")) > CONTACT_VALIDITY
