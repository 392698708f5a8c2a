"""The targets of this host's region, as this host sees them."""

import time
from collections.abc import Mapping
from typing import Protocol

import curio

from bronzepoint_common.background import keep_running
from bronzepoint_common.http import HttpClient
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.membership import HostState, Membership
from bronzepoint_node.policy import TargetState, TargetView
from bronzepoint_node.targets._ejection import find_ejections, find_return
from bronzepoint_node.targets._host_list import HostListReader
from bronzepoint_node.targets._pollers import Pollers
from bronzepoint_node.targets._subset import choose_subset
from bronzepoint_node.targets._tracked_target import TrackedTarget
from bronzepoint_schema.generated.admin import TargetStatus
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    ServiceEntry,
    Target,
)
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.membership import (
    EntryShare,
    NoticeSource,
    TargetNotice,
)
from bronzepoint_schema.generated.platform import ListedHost, ListedState
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import EntryName, HostName, Revision, TargetName

LEAVING_HEADER = "x-leaving"
MAX_BLOCKS = 40_000
"""Number of prompt blocks remembered over all targets, which take about 5 MB."""
_MAX_BLOCKS_PER_TARGET = 4000
_MIN_BLOCKS_PER_TARGET = 200
_IDLE_ENTRY_INTERVAL_SECONDS = 4.0
"""Interval at which the shares of unused entries are computed again."""
_UPDATE_INTERVAL_SECONDS = 0.5
_NOT_LEAVING_VALUES = ("", "0")
Entry = ModelEntry | ServiceEntry
_log = get_logger("targets")


class Catalogue(Protocol):
    """The part of the catalogue that is read here."""

    revision: Revision

    def items(self) -> list[CatalogueItem]:
        """Return all items."""


class Targets:
    """Watches a bounded subset of the region's targets and counts requests to them.

    Args:
        settings: Region, platform services and the interval of polls.
        catalogue: Lists the targets.
        membership: Hosts that share the targets, and their notices.
        http: Connections to targets and to the host list.
        metrics: Counts polls, ejections and returns.
    """

    def __init__(
        self,
        settings: Settings,
        catalogue: Catalogue,
        membership: Membership,
        http: HttpClient,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._catalogue = catalogue
        self._membership = membership
        self._http = http
        self._metrics = metrics
        self._tracked: dict[TargetName, TrackedTarget] = {}
        self._entries: dict[EntryName, list[TargetName]] = {}
        self._region_sizes: dict[EntryName, int] = {}
        self._pollers = Pollers(
            http, settings.platform.poll, self._publish_notices, metrics
        )
        self._entries_of: dict[TargetName, list[EntryName]] = {}
        self._active: set[TargetName] = set()
        self._shares: dict[EntryName, EntryShare] = {}
        self._all_shares_due = 0.0
        self._applied_hosts: list[HostName] = []
        self._applied_revision: Revision | None = None
        self._tasks = curio.TaskGroup()
        membership.on_notice(self._on_notice)

    async def start(self) -> None:
        """Start watching."""
        await self._tasks.spawn(keep_running, self._run)
        platform = self._settings.platform
        if platform.host_list:
            reader = HostListReader(
                platform.host_list,
                self._http,
                platform.poll,
                self._on_host_list,
                self._metrics,
            )
            await self._tasks.spawn(keep_running, reader.run)

    async def close(self) -> None:
        """Stop watching."""
        await self._tasks.cancel_remaining()
        await self._pollers.close()

    def views(
        self, entry: EntryName, prefix_hashes: list[str] | None = None
    ) -> list[TargetView]:
        """Return the current views of this host's targets of an entry.

        Args:
            entry: The entry.
            prefix_hashes: Hashes of the prompt's blocks, see `prefix`.
        """
        hashes = prefix_hashes or []
        now, unix_time = time.monotonic(), time.time()
        tracked = self._tracked_for(entry)
        views = [each.view(hashes, now, unix_time) for each in tracked]
        if views and all(view.state is TargetState.unknown for view in views):
            # When no target can be reached, the polls themselves may be at fault. A
            # try shows whether a target answers; one that can't connect has not run.
            for view in views:
                view.state = TargetState.ready
        return views

    def begin(self, name: TargetName, prefix_hashes: list[str] | None = None) -> None:
        """Count a request that is about to be sent; call this before any await."""
        tracked = self._tracked.get(name)
        if tracked is None:
            return
        tracked.in_flight.change(1, time.time())
        self._active.add(name)
        if prefix_hashes:
            tracked.memory.note_sent(prefix_hashes, time.monotonic())

    def finish(self, name: TargetName, result: TryResult, seconds: float) -> None:
        """Count the end of a request.

        Args:
            name: The target.
            result: How the try ended.
            seconds: Time from sending to the first byte of the answer.
        """
        tracked = self._tracked.get(name)
        if tracked is None:
            return
        tracked.in_flight.change(-1, time.time())
        tracked.health.note(result, seconds)
        self._eject_failing(name)

    def record_answer(
        self, name: TargetName, headers: Mapping[str, str], rest: float = 0.0
    ) -> None:
        """Record what a target says of itself in any of its answers.

        Args:
            name: The target.
            headers: Headers of the answer.
            rest: Seconds for which it wants no requests of this host; 0: none.
        """
        tracked = self._tracked.get(name)
        if tracked is None:
            return
        tracked.record_rest(rest, time.monotonic())
        if headers.get(LEAVING_HEADER, "") not in _NOT_LEAVING_VALUES:
            tracked.leaving.record_header(tracked.target_now(time.time()))
            self._publish_notices(tracked)

    def shares(self) -> list[EntryShare]:
        """Return this host's share of each entry's load, for `Membership.publish`.

        The slots are those of the whole region, estimated from the subset that this
        host watches. The requests are this host's own, without queued ones.
        """
        now = time.monotonic()
        if now >= self._all_shares_due:
            self._all_shares_due = now + _IDLE_ENTRY_INTERVAL_SECONDS
            changed = set(self._entries)
        else:
            # Hundreds of entries may be declared and few of them in use. Summing up
            # all of them twice a second took over half of an idle host's CPU time.
            active = (self._entries_of.get(name, ()) for name in self._active)
            changed = {entry for entries in active for entry in entries}
        for entry in changed:
            self._shares[entry] = self._share(entry)
        self._active = {n for n in self._active if self._is_in_flight(n)}
        return list(self._shares.values())

    def _share(self, entry: EntryName) -> EntryShare:
        tracked = self._tracked_for(entry)
        ready = [each for each in tracked if each.state is TargetState.ready]
        scale = self._region_sizes[entry] / max(1, len(tracked))
        costs = [each.target.cost for each in ready]
        return EntryShare(
            entry=entry,
            slots=round(scale * sum(each.slots for each in ready)),
            in_progress=sum(each.in_flight.count for each in tracked),
            cost=sum(costs) / len(costs) if costs else 1.0,
        )

    def _is_in_flight(self, name: TargetName) -> bool:
        tracked = self._tracked.get(name)
        return tracked is not None and tracked.in_flight.count > 0

    def statuses(self) -> list[TargetStatus]:
        """Return the state of all targets that this host watches, for operators."""
        unix_time = time.time()
        return [
            _make_status(entry, each, unix_time)
            for entry in sorted(self._entries)
            for each in self._tracked_for(entry)
        ]

    async def _run(self) -> None:
        while True:
            await self._follow_catalogue()
            self._update_states()
            await curio.sleep(_UPDATE_INTERVAL_SECONDS)

    async def _follow_catalogue(self) -> None:
        """Watch this host's subset of the targets in the current catalogue."""
        hosts, revision = self._sharing_hosts(), self._catalogue.revision
        if hosts == self._applied_hosts and revision == self._applied_revision:
            return
        self._applied_hosts, self._applied_revision = hosts, revision
        entries = [i for i in self._catalogue.items() if isinstance(i, Entry)]
        wanted: dict[TargetName, Target] = {}
        polled: set[TargetName] = set()
        self._entries = {}
        for entry in entries:
            targets = self._choose_targets(entry, hosts)
            self._entries[entry.name] = [target.name for target in targets]
            wanted.update({target.name: target for target in targets})
            if isinstance(entry, ModelEntry):
                polled.update(target.name for target in targets)
        self._watch(wanted)
        self._entries_of = {name: [] for name in wanted}
        for entry_name, names in self._entries.items():
            for name in names:
                self._entries_of[name].append(entry_name)
        self._shares.clear()
        self._all_shares_due = 0.0
        await self._pollers.follow(self._tracked[name] for name in polled)

    def _choose_targets(self, entry: Entry, hosts: list[HostName]) -> list[Target]:
        own_region = self._settings.host.region
        targets = {t.name: t for t in entry.targets if t.region == own_region}
        self._region_sizes[entry.name] = len(targets)
        chosen = choose_subset(self._settings.host.name, hosts, sorted(targets))
        return [targets[name] for name in chosen]

    def _sharing_hosts(self) -> list[HostName]:
        """Return the hosts of the region that share its targets, this one included."""
        own = self._settings.host.name
        excluded = (HostState.dead, HostState.draining)
        infos = self._membership.region_hosts()
        return [i.name for i in infos if i.state not in excluded or i.name == own]

    def _watch(self, wanted: dict[TargetName, Target]) -> None:
        each = MAX_BLOCKS // max(1, len(wanted))
        blocks = min(_MAX_BLOCKS_PER_TARGET, max(_MIN_BLOCKS_PER_TARGET, each))
        for name, target in wanted.items():
            tracked = self._tracked.get(name)
            if tracked is None or tracked.update(target):
                tracked = TrackedTarget(target, blocks)
                tracked.update(target)
                self._tracked[name] = tracked
                self._apply_known_notices(tracked)
            tracked.memory.max_blocks = blocks
        for name in list(self._tracked):
            # `finish` of a request in progress still needs the count.
            if name not in wanted and self._tracked[name].in_flight.count == 0:
                del self._tracked[name]

    def _tracked_for(self, entry: EntryName) -> list[TrackedTarget]:
        return [self._tracked[name] for name in self._entries.get(entry, ())]

    def _update_states(self) -> None:
        now = time.monotonic()
        for tracked in self._tracked.values():
            tracked.update_state(now)
        for entry in self._entries:
            returning = find_return([t.health for t in self._tracked_for(entry)], now)
            if returning is not None:
                returning.begin_return(now)
                self._metrics.incr("targets.returned")

    def _eject_failing(self, name: TargetName) -> None:
        now = time.monotonic()
        for entry, names in self._entries.items():
            if name not in names:
                continue
            tracked = self._tracked_for(entry)
            for health in find_ejections([each.health for each in tracked]):
                failing = next(t for t in tracked if t.health is health)
                _log.warning(
                    "Target ejected",
                    target=failing.target.name,
                    failures=health.failures,
                    first_byte=round(health.seconds, 3),
                )
                health.eject(now)
                self._metrics.incr("targets.ejected")

    def _on_host_list(self, listed_hosts: list[ListedHost]) -> None:
        for listed in listed_hosts:
            tracked = self._tracked.get(listed.name)
            leaving = listed.state is ListedState.leaving
            if tracked is not None:
                tracked.leaving.record(NoticeSource.host_list, leaving, listed.as_of)
                self._publish_notices(tracked)

    def _on_notice(self, notice: TargetNotice) -> None:
        tracked = self._tracked.get(notice.target)
        if tracked is not None:
            tracked.leaving.record_from_host(notice)
            tracked.update_state(time.monotonic())

    def _apply_known_notices(self, tracked: TrackedTarget) -> None:
        for notice in self._membership.notices():
            if notice.target == tracked.target.name:
                tracked.leaving.record_from_host(notice)

    def _publish_notices(self, tracked: TrackedTarget) -> None:
        tracked.update_state(time.monotonic())
        for notice in tracked.leaving.take_unreported():
            _log.info(
                "Target leaving" if notice.leaving else "Target no longer leaving",
                target=notice.target,
                source=notice.source,
            )
            self._membership.report_notice(notice)


def _make_status(
    entry: EntryName, tracked: TrackedTarget, unix_time: float
) -> TargetStatus:
    status = TargetStatus(
        entry=entry,
        name=tracked.target.name,
        region=tracked.target.region,
        state=tracked.state,
        in_flight=tracked.in_flight.count,
        leaving_by=tracked.leaving.sources,
    )
    if tracked.report is not None:
        status.running = tracked.report.running
        status.waiting = tracked.report.waiting
        status.age = max(0.0, unix_time - tracked.report.as_of)
    return status
