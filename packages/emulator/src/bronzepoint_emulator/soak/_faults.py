"""Injects the faults of a schedule and ends them."""

import threading
from typing import Any

from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.soak._history import FaultEvent, History
from bronzepoint_emulator.soak._schedule import (
    PROCESS_FAULTS,
    TARGET_FAULTS,
    Fault,
    FaultKind,
)

TERMINATE_TIMEOUT = 60.0
"""Seconds that a daemon gets to exit after SIGTERM."""
NO_FAULTS: dict[str, Any] = {
    "slow": 1.0,
    "refuse": False,
    "cut_after": -1,
    "crossed": False,
}
_TARGET_FAULTS: dict[FaultKind, dict[str, Any]] = {
    FaultKind.target_slow: {"slow": 20.0},
    FaultKind.target_refuses: {"refuse": True},
    FaultKind.target_cuts: {"cut_after": 0},
    FaultKind.target_crosses: {"crossed": True},
}


class FaultDriver:
    """Runs a schedule of faults on a deployment.

    Args:
        deployment: Deployment with its links behind the fault proxy.
        schedule: Faults and their times.
        history: Records each fault when it ends.
        stop: Event that ends the run early.
    """

    def __init__(
        self,
        deployment: Deployment,
        schedule: list[Fault],
        history: History,
        stop: threading.Event,
    ) -> None:
        self._deployment = deployment
        self._history = history
        self._stop = stop
        self._active: list[Fault] = []
        steps = [(fault.at, True, fault) for fault in schedule]
        steps += [(fault.until, False, fault) for fault in schedule]
        self._steps = sorted(steps, key=lambda step: (step[0], step[1]))

    def run(self, seconds: float) -> None:
        """Inject faults for a time (s) or until ``stop`` is set."""
        for at, begins, fault in self._steps:
            if at > seconds or self._stop.wait(max(0.0, at - self._history.now())):
                break
            self._begin(fault) if begins else self._end(fault)
        self._stop.wait(max(0.0, seconds - self._history.now()))

    def clear_all(self) -> None:
        """End all active faults."""
        for fault in list(self._active):
            self._end(fault)

    def _begin(self, fault: Fault) -> None:
        self._active.append(fault)
        deployment = self._deployment
        match fault.kind:
            case FaultKind.kill:
                deployment.kill(fault.subject)
            case FaultKind.freeze:
                deployment.freeze(fault.subject)
            case FaultKind.terminate:
                deployment.terminate(fault.subject)
            case FaultKind.wipe:
                deployment.wipe(fault.subject)
            case _ if fault.kind in TARGET_FAULTS:
                self._set_target(fault.subject)
            case _:
                self._set_links()

    def _end(self, fault: Fault) -> None:
        if fault not in self._active:
            return
        self._active.remove(fault)
        deployment = self._deployment
        match fault.kind:
            case FaultKind.freeze:
                deployment.thaw(fault.subject)
            case FaultKind.terminate:
                deployment.process(fault.subject).wait(TERMINATE_TIMEOUT)
                deployment.restart(fault.subject)
            case FaultKind.kill | FaultKind.wipe:
                deployment.restart(fault.subject)
            case _ if fault.kind in TARGET_FAULTS:
                self._set_target(fault.subject)
            case _:
                self._set_links()
        event = FaultEvent(began=fault.at, ended=self._history.now(), what=str(fault))
        self._history.add(event)

    def _set_target(self, target: str) -> None:
        """Set a target's faults to the union of those active on it."""
        faults = dict(NO_FAULTS)
        for fault in self._active:
            if fault.subject == target and fault.kind in TARGET_FAULTS:
                faults |= _TARGET_FAULTS[fault.kind]
        self._deployment.set_faults(target, **faults)

    def _set_links(self) -> None:
        """Set the links' faults to the union of the active partitions.

        Ending one of two overlapping partitions must not end the other, so all are
        cleared and the active ones set again.
        """
        deployment = self._deployment
        deployment.heal()
        for fault in self._active:
            match fault.kind:
                case FaultKind.cut_pair:
                    deployment.cut(fault.subject, fault.other)
                case FaultKind.cut_one_way:
                    deployment.cut_one_way(fault.subject, fault.other)
                case FaultKind.isolate_host:
                    deployment.isolate_host(fault.subject)
                case FaultKind.isolate_region:
                    deployment.isolate_region(fault.subject)
                case _ if fault.kind in PROCESS_FAULTS:
                    continue
