"""Selects the engines that may change their version now, as a pure function."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from bronzepoint_node.orders._wanted import WantedEngine
from bronzepoint_schema.generated.orders import EnginePhase, EngineProgress
from bronzepoint_schema.generated.platform import EngineState
from bronzepoint_schema.ids import EntryName, RegionName, TargetName


class _Pool(NamedTuple):
    """The engines of one entry in one region, which must not all be down."""

    entry: EntryName
    region: RegionName


@dataclass
class EngineView:
    """Wanted and reported state of one engine.

    Attributes:
        wanted: The engine with the versions that the catalogue wants.
        state: State that the engine reported; None if it did not answer.
        pending: Whether an order to it has an unknown outcome.
        detail: Last error, for operators.
    """

    wanted: WantedEngine
    state: EngineState | None = None
    pending: bool = False
    detail: str = ""

    @property
    def phase(self) -> EnginePhase:
        """Phase of the engine's change to the wanted version."""
        if len(self.wanted.versions) > 1:
            return EnginePhase.contradiction
        if self.state is None:
            return EnginePhase.unreachable
        if self.state.loading:
            return EnginePhase.loading
        if self.state.version == self.wanted.version or not self.wanted.version:
            return EnginePhase.current
        return EnginePhase.ordered if self.pending else EnginePhase.outdated

    @property
    def serving(self) -> bool:
        """Whether its slots count towards the share that must stay up."""
        return self.phase in (
            EnginePhase.current,
            EnginePhase.outdated,
            EnginePhase.contradiction,
        )

    def pools(self) -> list[_Pool]:
        """Return the pools that lose the engine's slots while it loads."""
        region = self.wanted.target.region
        return [_Pool(entry, region) for entry in self.wanted.entries]

    def progress(self, detail: str = "") -> EngineProgress:
        """Return the progress for operators."""
        return EngineProgress(
            target=self.wanted.target.name,
            region=self.wanted.target.region,
            phase=self.phase,
            wanted=" or ".join(sorted(self.wanted.versions)),
            loaded=self.state.version if self.state is not None else "",
            detail=detail or self.detail,
        )


@dataclass
class Plan:
    """Engines to send orders to now, and why others wait.

    Attributes:
        steps: Engines to send orders to, in this sequence.
        blocked: Reason and remedy for each outdated engine that gets no order.
    """

    steps: list[EngineView] = field(default_factory=list)
    blocked: dict[TargetName, str] = field(default_factory=dict)


def plan_steps(engines: Iterable[EngineView], keep_share: float) -> Plan:
    """Return the steps that keep the required share of slots in each pool.

    An engine serves no requests while it loads. If all engines loaded at the same
    time, a region would not answer until the last load has ended. An engine that does
    not answer counts as down, so that failures during a change are included.

    Args:
        engines: All engines.
        keep_share: Share of each pool's slots that must stay up, 0 to 1.
    """
    views = [view for view in engines if not view.wanted.target.leaving]
    total = _sum_slots(views)
    up = _sum_slots(view for view in views if view.serving)
    plan = Plan()
    for view in sorted(views, key=lambda view: view.wanted.target.name):
        if view.phase is not EnginePhase.outdated or not view.wanted.takes_orders:
            continue
        slots = view.wanted.target.slots
        insufficient = [
            pool for pool in view.pools() if up[pool] - slots < keep_share * total[pool]
        ]
        if insufficient:
            plan.blocked[view.wanted.target.name] = _blocked_reason(
                insufficient[0], keep_share
            )
            continue
        for pool in view.pools():
            up[pool] -= slots
        plan.steps.append(view)
    return plan


def _sum_slots(views: Iterable[EngineView]) -> Mapping[_Pool, int]:
    slots: dict[_Pool, int] = defaultdict(int)
    for view in views:
        for pool in view.pools():
            slots[pool] += view.wanted.target.slots
    return slots


def _blocked_reason(pool: _Pool, keep_share: float) -> str:
    return (
        f"waits: while it loads, less than {keep_share:.0%} of the slots of entry "
        f"{pool.entry} in {pool.region} would be up; if no other engine is loading, "
        "add a target there or lower [orders] keep_share"
    )
