"""Runs callers, operators and faults on a deployment."""

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
from bronzepoint_emulator.soak._callers import CALL_ERRORS, Caller
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
from bronzepoint_emulator.soak._operators import CompetingOperator, Observer
from bronzepoint_emulator.soak._schedule import Fault, draw_schedule
from bronzepoint_emulator.soak._worker_threads import Worker, WorkerThreads

CALLERS = 6
"""Number of concurrent callers."""
RECOVERY_TIMEOUT = 60.0
"""Seconds for all hosts to become ready and agree after the faults."""


class SoakReport(Struct):
    """Events and violations of a run."""

    seed: int
    seconds: float
    schedule: list[Fault]
    history: History
    final: FinalState
    violations: list[Violation]

    def faults(self) -> Counter[str]:
        """Return the number of faults by kind."""
        events = self.history.of(FaultEvent)
        return Counter(event.what.split()[0] for event in events)

    def calls(self) -> Counter[str]:
        """Return the number of calls by kind and outcome or kind of refusal."""
        return Counter(
            f"{call.kind} {call.refusal or call.outcome}"
            for call in self.history.of(CallEvent)
        )

    def changes(self) -> Counter[str]:
        """Return the number of operators' attempts by outcome."""
        return Counter(str(c.outcome) for c in self.history.of(ChangeEvent))

    def views(self) -> int:
        """Return the number of observations."""
        return sum(1 for _ in self.history.of(ViewEvent))


def run_soak(
    layout: Layout, seconds: float, seed: int, logs: Path | None = None
) -> SoakReport:
    """Run faults and load on a deployment, then check the history.

    The seed determines the schedule of faults and each worker's choices, but not how
    the threads and processes interleave.

    Args:
        layout: The deployment.
        seconds: Duration of the faults.
        seed: Seed of all random choices.
        logs: Folder to copy the processes' logs to.
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
        driver.clear_all()
        final = _collect_final_state(deployment, history)
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
        CompetingOperator(
            deployment, history, stop, spec.name, number, f"{seed} operator {number}"
        )
        for number, spec in enumerate(deployment.layout.operators)
    ]
    observers = [
        Observer(deployment, history, stop, host) for host in deployment.host_names()
    ]
    return [*callers, *operators, *observers]


def _collect_final_state(deployment: Deployment, history: History) -> FinalState:
    """Wait until all hosts are ready and agree; return the final state."""
    final = FinalState()
    observers = {
        host: Observer(deployment, history, threading.Event(), host)
        for host in deployment.host_names()
    }
    try:
        wait_until(_agree(observers, final), "all hosts agree", RECOVERY_TIMEOUT)
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
    """Return the status of each host, to diagnose those that did not recover."""
    lines = []
    for host in deployment.host_names():
        try:
            lines.append(f"{host}: {deployment.operator(host).status()}")
        except (*CALL_ERRORS, DeploymentError) as exc:
            ended = deployment.process(host).exit_status
            lines.append(f"{host}: {exc!r}, exit status {ended}")
    return lines


def _agree(observers: dict[str, Observer], final: FinalState) -> Callable[[], bool]:
    def agree() -> bool:
        for host, observer in observers.items():
            view = observer.observe()
            if view is None:
                raise DeploymentError(f"{host} is not ready")
            final.versions[host] = view.version
            final.values[host] = view.value
        return len(set(final.versions.values())) == 1

    return agree
