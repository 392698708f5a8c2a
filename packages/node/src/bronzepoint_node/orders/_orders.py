"""Reconciles the model versions of engines with the catalogue."""

from collections.abc import Iterable
from typing import Protocol

import curio

from bronzepoint_common.background import spawn_background
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
from bronzepoint_node.orders._plan import EngineView, Plan, plan_steps
from bronzepoint_node.orders._rate_limiter import LoadRateLimiter
from bronzepoint_node.orders._wanted import WantedEngine, wanted_engines
from bronzepoint_schema.generated.catalogue import CatalogueItem, OrderProtocol
from bronzepoint_schema.generated.orders import EnginePhase, OrdersStatus
from bronzepoint_schema.generated.settings import OrdersSection
from bronzepoint_schema.ids import FencingNumber

MAX_CONCURRENT_POLLS = 32
"""Maximum number of engines polled concurrently."""
_log = get_logger("orders")


class LeaseView(Protocol):
    """The part of the agreement that orders use."""

    def lease(self) -> FencingNumber | None:
        """Return the fencing number of the lease; None if this host has no lease."""
        ...

    def leader_age(self) -> float | None:
        """Return None if this host's catalogue is behind its committed log."""
        ...


class ItemsView(Protocol):
    """The part of the catalogue that orders use."""

    ready: bool

    def items(self) -> Iterable[CatalogueItem]:
        """Return all items."""
        ...


class Orders:
    """Orders engines to load the catalogue's versions, while this host has the lease.

    A control loop compares the wanted versions with the reported ones, instead of
    reacting to single changes. So a lost order, a restarted engine and a stale order
    that was accepted all look the same and are corrected in the same way.

    Args:
        agreement: Provides the lease of this host, if it has one.
        view: The catalogue.
        metrics: Counters of this process.
        cfg: Settings of the orders; None for the defaults.
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
        self._rate_limiter = LoadRateLimiter(self._cfg.load_interval)
        self._held: HeldLease | None = None
        self._status = OrdersStatus()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start the control loop."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop sending orders."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        await self._client.close()

    def status(self) -> OrdersStatus:
        """Return the status for operators; empty unless this host holds the lease."""
        return self._status

    async def _run(self) -> None:
        while True:
            engines = 0
            if await self._update_lease():
                engines = await self._poll_and_order()
            rest = engines / self._cfg.polls_per_second
            await curio.sleep(max(self._cfg.poll, rest))

    async def _update_lease(self) -> bool:
        """Update the held lease; return whether this host may send orders now.

        A new leader whose catalogue is still behind its log would order a version
        that was already replaced, and an engine would go back to it.
        """
        lease = self._agreement.lease()
        if lease is None:
            await self._drop_lease()
            return False
        if self._held is None or self._held.numbers.lease != lease:
            await self._drop_lease()
            self._held = HeldLease(OrderNumbers(lease), monotonic())
            _log.info("lease acquired, orders to engines started", lease=lease)
        return self._view.ready and self._agreement.leader_age() is not None

    async def _drop_lease(self) -> None:
        if self._held is None:
            return
        _log.info(
            "lease lost, orders to engines stopped", lease=self._held.numbers.lease
        )
        self._held = None
        self._status = OrdersStatus()
        # An order that is not written yet must not find an open connection.
        await self._client.close()
        self._client = EngineClient(self._cfg.timeout)

    async def _poll_and_order(self) -> int:
        """Poll all engines, then send the orders that are due."""
        held = self._held
        assert held is not None
        wanted = wanted_engines(self._view.items())
        controllable = [
            engine
            for engine in wanted.values()
            if engine.target.orders is not OrderProtocol.none
        ]
        if not any(engine.versions for engine in controllable):
            self._update_status(held, [], Plan())
            return 0
        views = await self._poll_engines(held, controllable)
        plan = plan_steps(views, self._cfg.keep_share)
        resent = [
            view
            for view in views
            if view.phase is EnginePhase.ordered and view.wanted.takes_orders
        ]
        self._update_status(held, views, plan)
        async with curio.TaskGroup() as group:
            for view in resent + plan.steps:
                if (
                    self._must_wait_unfenced(held, view)
                    or not await self._wait_for_rate_limit()
                ):
                    continue
                await group.spawn(self._order, held, view)
        return len(controllable)

    async def _poll_engines(
        self, held: HeldLease, engines: list[WantedEngine]
    ) -> list[EngineView]:
        semaphore = curio.Semaphore(MAX_CONCURRENT_POLLS)
        async with curio.TaskGroup() as group:
            for engine in engines:
                await group.spawn(self._poll_engine, held, engine, semaphore)
        return list(group.results)

    async def _poll_engine(
        self, held: HeldLease, engine: WantedEngine, semaphore: curio.Semaphore
    ) -> EngineView:
        name = engine.target.name
        view = EngineView(engine, detail=held.errors.get(name, ""))
        try:
            async with semaphore:
                view.state = await self._client.state(engine.target)
        except EngineUnreachable as exc:
            view.detail = str(exc)
            return view
        held.record_state(name, view.state)
        view.pending = name in held.pending
        if view.phase is EnginePhase.current:
            held.errors.pop(name, None)
            view.detail = ""
        return view

    def _must_wait_unfenced(self, held: HeldLease, view: EngineView) -> bool:
        """Return whether an order to an engine without fencing must still wait.

        The previous holder may have been frozen between its check and its write. Until
        the engines have closed its idle connections, its order could arrive after an
        order of this host.
        """
        if view.wanted.target.orders is not OrderProtocol.unfenced:
            return False
        return self._unfenced_wait(held) > 0

    def _unfenced_wait(self, held: HeldLease) -> float:
        return max(0.0, held.since + self._cfg.takeover_wait - monotonic())

    async def _wait_for_rate_limit(self) -> bool:
        """Wait until a load may start; False if the polled states would be outdated."""
        wait = self._rate_limiter.wait(monotonic())
        if wait > self._cfg.poll:
            return False
        await curio.sleep(wait)
        self._rate_limiter.started(monotonic())
        return True

    async def _order(self, held: HeldLease, view: EngineView) -> None:
        target = view.wanted.target
        order = held.order_for(view)
        try:
            await self._client.send(target, order, lambda: self._check_lease(held))
        except OrderError as exc:
            self._record_failure(held, view, exc)
            return
        held.pending.pop(target.name, None)
        held.errors.pop(target.name, None)
        self._rate_limiter.succeeded()
        self._metrics.incr("orders.taken")
        _log.info("engine accepted order", target=target.name, version=order.version)

    def _check_lease(self, held: HeldLease) -> None:
        if self._agreement.lease() != held.numbers.lease:
            raise LeaseLost()

    def _record_failure(
        self, held: HeldLease, view: EngineView, exc: OrderError
    ) -> None:
        name = view.wanted.target.name
        match exc:
            case EngineUnreachable():
                # The order may have been accepted: it stays pending and is sent again.
                self._metrics.incr("retry.order_unanswered")
            case WeightsLimited():
                self._rate_limiter.limited(monotonic(), exc.retry_after)
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

    def _update_status(
        self, held: HeldLease, views: list[EngineView], plan: Plan
    ) -> None:
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
            load_interval=self._rate_limiter.interval,
            engines=progress,
        )
