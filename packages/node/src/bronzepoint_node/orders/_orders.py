"""The task that brings engines to the versions that the catalogue wants."""

from collections.abc import Iterable
from typing import Protocol

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.orders._engine import EngineClient
from bronzepoint_node.orders._errors import (
    EngineUnreachable,
    LeaseLost,
    OrderError,
    OrderFenced,
    WeightsLimited,
)
from bronzepoint_node.orders._held import HeldLease
from bronzepoint_node.orders._numbers import OrderNumbers
from bronzepoint_node.orders._pace import LoadPace
from bronzepoint_node.orders._plan import EngineView, Plan, plan_steps
from bronzepoint_node.orders._wanted import WantedEngine, wanted_engines
from bronzepoint_schema.generated.catalogue import CatalogueItem, OrderProtocol
from bronzepoint_schema.generated.orders import EnginePhase, OrdersStatus
from bronzepoint_schema.generated.settings import OrdersSection
from bronzepoint_schema.ids import FencingNumber

LOOKS_AT_ONCE = 32
"""Engines asked at the same time."""
_log = get_logger("orders")


class LeaseView(Protocol):
    """What is asked of the agreement."""

    def lease(self) -> FencingNumber | None:
        """Return the number to act under, None where this host may not act."""
        ...

    def leader_age(self) -> float | None:
        """Return None where this host's catalogue is behind what it has agreed."""
        ...


class ItemsView(Protocol):
    """What is read of the catalogue."""

    ready: bool

    def items(self) -> Iterable[CatalogueItem]:
        """Return all items."""
        ...


class Orders:
    """Orders engines to load what the catalogue wants, while this host may act.

    It compares what is wanted with what engines report, again and again, instead of
    following single changes: an order that got lost, a restarted engine and a stale
    order that came through all look the same, and are mended the same way.

    Args:
        agreement: Says whether this host holds the lease.
        view: The catalogue.
        metrics: Counters of this process.
        cfg: Times and shares; the defaults where None.
    """

    def __init__(
        self,
        agreement: LeaseView,
        view: ItemsView,
        metrics: Metrics,
        cfg: OrdersSection | None = None,
    ) -> None:
        self._agreement = agreement
        self._view = view
        self._metrics = metrics
        self._cfg = cfg if cfg is not None else OrdersSection()
        self._client = EngineClient(self._cfg.timeout)
        self._pace = LoadPace(self._cfg.load_interval)
        self._held: HeldLease | None = None
        self._status = OrdersStatus()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Begin to watch the lease."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop giving orders."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        await self._client.close()

    def status(self) -> OrdersStatus:
        """Return what operators see; of interest on the lease holder alone."""
        return self._status

    async def _run(self) -> None:
        while True:
            engines = 0
            if await self._take_lease():
                engines = await self._look_and_order()
            rest = engines / self._cfg.polls_per_second
            await curio.sleep(max(self._cfg.poll, rest))

    async def _take_lease(self) -> bool:
        """Follow the lease; return whether this host may order now.

        A new leader whose catalogue is still behind its log would order a version
        that was replaced, and an engine would go back.
        """
        lease = self._agreement.lease()
        if lease is None:
            await self._drop_lease()
            return False
        if self._held is None or self._held.numbers.lease != lease:
            await self._drop_lease()
            self._held = HeldLease(OrderNumbers(lease), monotonic())
            _log.info("gives orders to engines", lease=lease)
        return self._view.ready and self._agreement.leader_age() is not None

    async def _drop_lease(self) -> None:
        if self._held is None:
            return
        _log.info("gives no more orders", lease=self._held.numbers.lease)
        self._held = None
        self._status = OrdersStatus()
        # An order that still waits to be written must not find a connection.
        await self._client.close()
        self._client = EngineClient(self._cfg.timeout)

    async def _look_and_order(self) -> int:
        """Look at all engines, then take the steps that are due."""
        held = self._held
        assert held is not None
        wanted = wanted_engines(self._view.items())
        orderly = [
            engine
            for engine in wanted.values()
            if engine.target.orders is not OrderProtocol.none
        ]
        if not any(engine.versions for engine in orderly):
            self._show(held, [], Plan())
            return 0
        views = await self._look(held, orderly)
        plan = plan_steps(views, self._cfg.keep_share)
        resent = [
            view
            for view in views
            if view.phase is EnginePhase.ordered and view.wanted.takes_orders
        ]
        self._show(held, views, plan)
        async with curio.TaskGroup() as group:
            for view in resent + plan.steps:
                if self._is_guarded(held, view) or not await self._wait_turn():
                    continue
                await group.spawn(self._order, held, view)
        return len(orderly)

    async def _look(
        self, held: HeldLease, engines: list[WantedEngine]
    ) -> list[EngineView]:
        gate = curio.Semaphore(LOOKS_AT_ONCE)
        async with curio.TaskGroup() as group:
            for engine in engines:
                await group.spawn(self._look_at, held, engine, gate)
        return list(group.results)

    async def _look_at(
        self, held: HeldLease, engine: WantedEngine, gate: curio.Semaphore
    ) -> EngineView:
        name = engine.target.name
        view = EngineView(engine, detail=held.errors.get(name, ""))
        try:
            async with gate:
                view.state = await self._client.state(engine.target)
        except EngineUnreachable as exc:
            view.detail = str(exc)
            return view
        held.note_state(name, view.state)
        view.pending = name in held.pending
        if view.phase is EnginePhase.current:
            held.errors.pop(name, None)
            view.detail = ""
        return view

    def _is_guarded(self, held: HeldLease, view: EngineView) -> bool:
        """Return whether an engine that ignores fencing numbers must wait.

        The former holder may have been frozen between its check and its write. Until
        engines have closed the connections that it had open, its order could arrive
        after ours.
        """
        if view.wanted.target.orders is not OrderProtocol.unfenced:
            return False
        return self._unfenced_wait(held) > 0

    def _unfenced_wait(self, held: HeldLease) -> float:
        return max(0.0, held.since + self._cfg.takeover_wait - monotonic())

    async def _wait_turn(self) -> bool:
        """Wait for the pace; False where the turn is so far off that states age."""
        wait = self._pace.wait(monotonic())
        if wait > self._cfg.poll:
            return False
        await curio.sleep(wait)
        self._pace.started(monotonic())
        return True

    async def _order(self, held: HeldLease, view: EngineView) -> None:
        target = view.wanted.target
        order = held.order_for(view)
        try:
            await self._client.give(target, order, lambda: self._check(held))
        except OrderError as exc:
            self._note_failure(held, view, exc)
            return
        held.pending.pop(target.name, None)
        held.errors.pop(target.name, None)
        self._pace.succeeded()
        self._metrics.incr("orders.taken")
        _log.info("engine takes order", target=target.name, version=order.version)

    def _check(self, held: HeldLease) -> None:
        if self._agreement.lease() != held.numbers.lease:
            raise LeaseLost()

    def _note_failure(self, held: HeldLease, view: EngineView, exc: OrderError) -> None:
        name = view.wanted.target.name
        match exc:
            case EngineUnreachable():
                # It may have been taken: it stays pending and is given again.
                self._metrics.incr("retry.order_unanswered")
            case WeightsLimited():
                self._pace.limited(monotonic(), exc.retry_after)
                self._metrics.incr("retry.weights_limited")
            case LeaseLost():
                held.pending.pop(name, None)
                self._metrics.incr("orders.lease_lost")
            case OrderFenced():
                held.pending.pop(name, None)
                self._metrics.incr("refusal.order_fenced")
            case _:
                held.pending.pop(name, None)
                self._metrics.incr("refusal.order")
        held.errors[name] = str(exc)
        _log.warning("order not carried out", target=name, error=str(exc))

    def _show(self, held: HeldLease, views: list[EngineView], plan: Plan) -> None:
        progress = [
            view.progress(plan.blocked.get(view.wanted.target.name, ""))
            for view in views
        ]
        outdated = sum(item.phase is not EnginePhase.current for item in progress)
        self._metrics.gauge("orders.not_current", outdated)
        self._status = OrdersStatus(
            holder=True,
            fencing_number=held.numbers.lease,
            unfenced_wait=self._unfenced_wait(held),
            load_interval=self._pace.interval,
            engines=progress,
        )
