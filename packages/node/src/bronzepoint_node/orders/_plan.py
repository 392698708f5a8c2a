"""Which engines may change their version now: a pure decision."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from bronzepoint_node.orders._wanted import WantedEngine
from bronzepoint_schema.generated.orders import EnginePhase, EngineProgress
from bronzepoint_schema.generated.platform import EngineState
from bronzepoint_schema.ids import EntryName, RegionName, TargetName


class _Pool(NamedTuple):
    """The engines of one entry in one region: what must not run dry together."""

    entry: EntryName
    region: RegionName


@dataclass
class EngineView:
    """One engine as wanted and as seen.

    Attributes:
        wanted: What the catalogue wants.
        state: What the engine reports; None where it gives no answer.
        pending: True while an order to it has an unknown outcome.
        detail: The last error, for operators.
    """

    wanted: WantedEngine
    state: EngineState | None = None
    pending: bool = False
    detail: str = ""

    @property
    def phase(self) -> EnginePhase:
        """How far the engine is from what is wanted."""
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
        """True where its slots surely count towards the share that stays up."""
        return self.phase in (
            EnginePhase.current,
            EnginePhase.outdated,
            EnginePhase.contradiction,
        )

    def pools(self) -> list[_Pool]:
        """Return the pools that lose its slots while it loads."""
        region = self.wanted.target.region
        return [_Pool(entry, region) for entry in self.wanted.entries]

    def progress(self, detail: str = "") -> EngineProgress:
        """Return what operators see."""
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
    """The engines to order now, and why others wait.

    Attributes:
        steps: Engines to order, in this order.
        blocked: Why an outdated engine is not ordered, with the remedy.
    """

    steps: list[EngineView] = field(default_factory=list)
    blocked: dict[TargetName, str] = field(default_factory=dict)


def plan_steps(engines: Iterable[EngineView], keep_share: float) -> Plan:
    """Return the steps that leave each pool its share of slots.

    An engine that loads serves nothing. Were all told at once, a region would answer
    nothing until the last load has ended; an engine that gives no answer counts as
    down, so a failure beside a change does not add to it.

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
        short = [
            pool for pool in view.pools() if up[pool] - slots < keep_share * total[pool]
        ]
        if short:
            plan.blocked[view.wanted.target.name] = _describe(short[0], keep_share)
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


def _describe(pool: _Pool, keep_share: float) -> str:
    return (
        f"waits: without it less than {keep_share:.0%} of the slots of entry "
        f"{pool.entry} in {pool.region} would be up; if no other engine is loading, "
        "add a target there or lower [orders] keep_share"
    )
