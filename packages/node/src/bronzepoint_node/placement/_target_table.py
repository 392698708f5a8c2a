"""The targets of this region, as known to one entry host."""

import math

from bronzepoint_common.logs import get_logger
from bronzepoint_node.fleet import ServedService
from bronzepoint_node.targets import Health, find_ejections, find_return
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.ids import DataCenterName

from ._cache_estimate import CacheEstimate
from ._missing_targets import MissingTargets
from ._target_groups import Group, group_targets
from ._tracked_target import Listing, TrackedTarget

CONTACT_RESULTS = frozenset({TryResult.answered, TryResult.refused_by_target})
"""Results which prove that a target is reachable."""
COLD_MARGIN = 0.3
"""Seconds added to the time for which a target reports that it stays cold."""
REOPENED_COLD_MARGIN = 1.0
"""Seconds added to a service's cold time when a data center is reopened, because the
list that marks its targets as cold is delayed."""

_log = get_logger("targets")


class TargetTable:
    """Keeps the targets of one region in sync with the target list.

    A target that a reading lacks gets no requests, but its state is kept for a while.
    """

    def __init__(self) -> None:
        self.closed: frozenset[DataCenterName] = frozenset()
        self._targets: dict[str, TrackedTarget] = {}
        self._missing = MissingTargets()
        self._of_service: dict[str, list[TrackedTarget]] = {}
        self._groups: dict[str, list[Group]] = {}
        self._services: dict[str, ServedService] = {}

    def update(
        self,
        listed: list[TargetInfo],
        age: float,
        services: dict[str, ServedService],
        closed: frozenset[DataCenterName],
        now: float,
    ) -> None:
        """Apply a new version of the list.

        Args:
            listed: Targets of this region.
            age: Seconds since the list was read.
            services: Catalogue entries of their services.
            closed: Data centers whose targets get no requests.
            now: Monotonic seconds.
        """
        self._services = services
        reopened = self.closed - closed
        self.closed = closed
        started = [t.address for t in listed if self.known(t.incarnation) is None]
        self._set_aside_missing(listed, now - age)
        for info in listed:
            self._apply_listing(info, age, now)
        self._missing.expire(now - age, started)
        for tracked in self.all_known():
            if tracked.info.data_center in reopened:
                self._mark_cold(tracked, now)
        self._index_by_service()

    def _set_aside_missing(self, listed: list[TargetInfo], read_at: float) -> None:
        """Keep the targets that a reading lacks apart from the listed ones."""
        names = {info.incarnation for info in listed}
        for name in [name for name in self._targets if name not in names]:
            self._missing.add(self._targets.pop(name), read_at)

    def _index_by_service(self) -> None:
        """Rebuild the index of targets by service."""
        self._of_service = {}
        for tracked in self._targets.values():
            self._of_service.setdefault(tracked.info.service, []).append(tracked)
        self._groups = {
            service: group_targets(targets)
            for service, targets in self._of_service.items()
        }

    def _apply_listing(self, info: TargetInfo, age: float, now: float) -> None:
        service = self._services.get(info.service)
        name = info.incarnation
        tracked = self._targets.get(name) or self._missing.take(name)
        if tracked is None:
            engine = service.engine if service else None
            memory = CacheEstimate(engine.memory_tokens if engine else 0)
            tracked = TrackedTarget(info, engine, memory, Health())
        elif tracked.engine is None and service is not None and service.engine:
            tracked.engine = service.engine
            tracked.memory = CacheEstimate(service.engine.memory_tokens)
        if info.leaving and not tracked.info.leaving:
            _log.info("target leaves", target=name, address=info.address)
        self._targets[name] = tracked
        tracked.listing = Listing.listed
        tracked.info = info
        if info.cold_ms > 0:
            cold_until = now - age + info.cold_ms / 1000 + COLD_MARGIN
            tracked.cold_until = max(tracked.cold_until, cold_until)
        elif now - age > tracked.reopened_at + COLD_MARGIN:
            # The list was read after the reopening, so it takes precedence.
            tracked.cold_until = min(tracked.cold_until, now)

    def _mark_cold(self, tracked: TrackedTarget, now: float) -> None:
        """Treat a target as cold after its data center has been reopened."""
        service = self._services.get(tracked.info.service)
        if service is not None and service.cold_time > 0:
            tracked.reopened_at = now
            until = now + service.cold_time + REOPENED_COLD_MARGIN
            tracked.cold_until = max(tracked.cold_until, until)

    def of_service(self, service: str) -> list[TrackedTarget]:
        """Return the targets of a service that may get requests."""
        return [t for t in self._of_service.get(service, []) if self.is_open(t)]

    def closed_of_service(self, service: str) -> list[str]:
        """Return the targets of a service that are in closed data centers."""
        return [
            tracked.info.incarnation
            for tracked in self._of_service.get(service, [])
            if tracked.info.data_center in self.closed
        ]

    def leaving_of_service(self, service: str) -> list[str]:
        """Return the targets of a service that have told this host that they leave."""
        return [
            tracked.info.incarnation
            for tracked in self._of_service.get(service, [])
            if tracked.said_leaving
        ]

    def has_service(self, service: str, software_version: str = "") -> bool:
        """Return whether a target of a service may get requests.

        Args:
            service: The service.
            software_version: Version that the target must have; empty: any.
        """
        return any(
            self.is_open(target)
            and software_version in ("", target.info.software_version)
            for target in self._of_service.get(service, [])
        )

    def has_unlimited(self, service: str) -> bool:
        """Return whether a target of a service may get requests without a limit."""
        return any(
            target.limit.rate is None and self.is_open(target)
            for target in self._of_service.get(service, [])
        )

    def rests_for(self, service: str, software_version: str, now: float) -> float:
        """Return the seconds for which all targets of a service rest; 0: not all do.

        Args:
            service: The service.
            software_version: Version that the targets must have; empty: any.
            now: Monotonic seconds.
        """
        rest = math.inf
        for target in self._of_service.get(service, []):
            if not self.is_open(target):
                continue
            if software_version in ("", target.info.software_version):
                rest = min(rest, target.rests_until - now)
                if rest <= 0:
                    return 0.0
        return 0.0 if rest == math.inf else rest

    def groups(self, service: str) -> list[Group]:
        """Return all targets of a service, in groups of a bounded size."""
        return self._groups.get(service, [])

    def is_open(self, tracked: TrackedTarget) -> bool:
        """Return whether a target may get requests."""
        info = tracked.info
        is_closed = info.data_center in self.closed
        is_listed = tracked.listing is Listing.listed
        is_leaving = info.leaving or tracked.said_leaving
        return is_listed and not (is_leaving or tracked.replaced or is_closed)

    def services(self) -> list[str]:
        """Return the services that have targets in the region."""
        return list(self._of_service)

    def all(self) -> list[TrackedTarget]:
        """Return all listed targets of the region."""
        return list(self._targets.values())

    def all_known(self) -> list[TrackedTarget]:
        """Return all targets whose state is kept, missing ones included."""
        return [*self._targets.values(), *self._missing.all()]

    def get(self, incarnation: str) -> TrackedTarget | None:
        """Return a target; None if it is not listed."""
        return self._targets.get(incarnation)

    def known(self, incarnation: str) -> TrackedTarget | None:
        """Return a target whose state is kept, although it may be missing."""
        return self._targets.get(incarnation) or self._missing.get(incarnation)

    def service(self, name: str) -> ServedService | None:
        """Return the catalogue entry of a service."""
        return self._services.get(name)

    def note_result(
        self, tracked: TrackedTarget, result: TryResult, seconds: float, now: float
    ) -> None:
        """Record the result of a try at a target, and eject failing targets."""
        if result in CONTACT_RESULTS:
            tracked.record_contact(now)
        tracked.health.note(result, seconds)
        siblings = self._service_health(tracked.info.service)
        for health in find_ejections(siblings):
            health.eject(now)
            _log.warning("target ejected", service=tracked.info.service)
        tracked.health.settle(now, tracked.slots)

    def begin_due_return(self, service: str, now: float) -> None:
        """Begin the return of an ejected target of a service, if one is due."""
        health = find_return(self._service_health(service), now)
        if health is not None:
            health.begin_return(now)

    def _service_health(self, service: str) -> list[Health]:
        return [tracked.health for tracked in self._of_service.get(service, [])]
