"""One run: a deployment, its callers and operators, and the faults."""

import shutil
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from bronzepoint_emulator.deployment import (
    Deployment,
    DeploymentError,
    Layout,
    wait_until,
)
from bronzepoint_emulator.soak._callers import LOST, Caller
from bronzepoint_emulator.soak._checker import Violation, check
from bronzepoint_emulator.soak._faults import FaultDriver
from bronzepoint_emulator.soak._history import (
    CallEvent,
    ChangeEvent,
    FaultEvent,
    FinalState,
    History,
    ViewEvent,
)
from bronzepoint_emulator.soak._operators import Observer, RacingOperator
from bronzepoint_emulator.soak._schedule import Fault, draw_schedule
from bronzepoint_emulator.soak._worker_threads import Worker, WorkerThreads

CALLERS = 6
SETTLE_TIMEOUT = 60.0


class SoakReport(Struct):
    """What a run did and found."""

    seed: int
    seconds: float
    schedule: list[Fault]
    history: History
    final: FinalState
    violations: list[Violation]

    def faults(self) -> Counter[str]:
        """Return how often each kind of fault was brought about."""
        events = self.history.of(FaultEvent)
        return Counter(event.what.split()[0] for event in events)

    def calls(self) -> Counter[str]:
        """Return the calls by kind and ending, refusals by their kind."""
        return Counter(
            f"{call.kind} {call.refusal or call.ending}"
            for call in self.history.of(CallEvent)
        )

    def changes(self) -> Counter[str]:
        """Return the operators' tries by their ending."""
        return Counter(str(c.ending) for c in self.history.of(ChangeEvent))

    def views(self) -> int:
        """Return how often a host's view was looked at."""
        return sum(1 for _ in self.history.of(ViewEvent))


def run_soak(
    layout: Layout, seconds: float, seed: int, logs: Path | None = None
) -> SoakReport:
    """Run faults and load over a deployment, then check the history.

    The seed gives the schedule of the faults and each worker's choices; how they
    interleave is up to the machine.

    Args:
        layout: What runs.
        seconds: For how long faults come.
        seed: Seed of everything that is drawn.
        logs: Folder that the processes' logs are copied to in the end.
    """
    schedule = draw_schedule(layout, seconds, seed)
    with Deployment(layout, proxied=True) as deployment:
        history = History()
        stop = threading.Event()
        driver = FaultDriver(deployment, schedule, history, stop)
        threads = WorkerThreads(_workers(deployment, history, stop, seed))
        threads.start()
        try:
            driver.run(seconds)
        finally:
            stop.set()
        failures = threads.close()
        driver.end_all()
        final = _settle(deployment, history)
        final.unsettled += failures
        if logs is not None:
            _copy_logs(deployment, logs)
    violations = check(history, final)
    return SoakReport(seed, seconds, schedule, history, final, violations)


def _copy_logs(deployment: Deployment, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for process in deployment.processes():
        shutil.copy(process.log, folder)


def _workers(
    deployment: Deployment, history: History, stop: threading.Event, seed: int
) -> list[Worker]:
    callers = [
        Caller(deployment, history, stop, f"{seed} caller {number}")
        for number in range(CALLERS)
    ]
    operators = [
        RacingOperator(
            deployment, history, stop, spec.name, number, f"{seed} operator {number}"
        )
        for number, spec in enumerate(deployment.layout.operators)
    ]
    observers = [
        Observer(deployment, history, stop, host) for host in deployment.host_names()
    ]
    return [*callers, *operators, *observers]


def _settle(deployment: Deployment, history: History) -> FinalState:
    """Wait until the hosts agree again and collect what is left."""
    final = FinalState()
    observers = {
        host: Observer(deployment, history, threading.Event(), host)
        for host in deployment.host_names()
    }
    try:
        wait_until(_agree(observers, final), "all hosts show the same", SETTLE_TIMEOUT)
    except DeploymentError as exc:
        final.unsettled.append(str(exc))
        final.unsettled += _statuses(deployment)
    for name in deployment.targets.names():
        final.runs[name] = deployment.targets.counts(name).nonces
    layout = deployment.layout
    final.target_regions = {
        spec.name: spec.region for spec in [*layout.engines, *layout.services]
    }
    return final


def _statuses(deployment: Deployment) -> list[str]:
    """Return what each host says of itself, to see who is stuck and how."""
    lines = []
    for host in deployment.host_names():
        try:
            lines.append(f"{host}: {deployment.operator(host).status()}")
        except (*LOST, DeploymentError) as exc:
            ended = deployment.process(host).exit_status
            lines.append(f"{host}: {exc!r}, exit status {ended}")
    return lines


def _agree(observers: dict[str, Observer], final: FinalState) -> Callable[[], bool]:
    def agree() -> bool:
        for host, observer in observers.items():
            view = observer.look()
            if view is None:
                raise DeploymentError(f"{host} is not ready")
            final.versions[host] = view.version
            final.values[host] = view.value
        return len(set(final.versions.values())) == 1

    return agree
