"""Paired runs: all contenders get the same arrivals at the same time."""

import multiprocessing
import time
from collections.abc import Callable, Iterable
from multiprocessing.connection import Connection
from typing import Self

from msgspec import Struct

from bronzepoint_emulator.experiments._cell import Cell
from bronzepoint_emulator.experiments._worker import work

_JOIN_TIMEOUT = 30.0
"""Seconds that a worker process gets to exit."""


class Contender(Struct, frozen=True):
    """A placement policy with the weights of one user.

    Attributes:
        extra: Additional keys of the [policy] section.
    """

    choice: str
    weights: str = "saphan"
    label: str = ""
    extra: dict[str, str] = {}

    def name(self) -> str:
        """Return the contender's name in the table."""
        return self.label or self.choice


CONTENDERS = (
    Contender("policy", "saphan", "policy (Saphan)"),
    Contender("policy", "karadeniz", "policy (Karadeniz)"),
    Contender("round_robin"),
    Contender("least_in_progress"),
    Contender("random_region"),
)


class RunFailed(Exception):
    """A run failed; the message has the worker's traceback."""


class Runs:
    """Runs one deployment per contender, concurrently.

    If run one after another, contenders would be measured at different loads of the
    machine; concurrent runs share any disturbance.

    Args:
        contenders: Policies to compare.
        note: Called with progress messages.
    """

    def __init__(
        self, contenders: Iterable[Contender], note: Callable[[str], None]
    ) -> None:
        self._contenders = list(contenders)
        self._note = note
        self._workers: list[tuple[multiprocessing.Process, Connection]] = []

    def __enter__(self) -> Self:
        context = multiprocessing.get_context("spawn")
        for contender in self._contenders:
            parent_end, child_end = context.Pipe()
            process = context.Process(
                target=work,
                args=(child_end, contender.choice, contender.weights, contender.extra),
            )
            process.start()
            child_end.close()
            self._workers.append((process, parent_end))
        for _, commands in self._workers:
            commands.recv()
        self._note(f"{len(self._workers)} deployments are up")
        return self

    def __exit__(self, *error: object) -> None:
        for process, commands in self._workers:
            if process.is_alive():
                commands.send(None)
        for process, _ in self._workers:
            process.join(_JOIN_TIMEOUT)
            if process.is_alive():
                process.terminate()

    def run(self, scenario: str, seed: int) -> list[Cell]:
        """Run one scenario with one seed on all deployments.

        Raises:
            RunFailed: A worker reported an error.
        """
        began = time.monotonic()
        for _, commands in self._workers:
            commands.send((scenario, seed))
        cells: list[Cell] = []
        for contender, (_, commands) in zip(
            self._contenders, self._workers, strict=True
        ):
            cell = commands.recv()
            if isinstance(cell, str):
                raise RunFailed(f"{contender.name()} in {scenario}: {cell}")
            cell.choice = contender.name()
            cells.append(cell)
        took = time.monotonic() - began
        self._note(f"{scenario}, seed {seed}: {took:.1f} s")
        return cells


__all__ = ["CONTENDERS", "Contender", "RunFailed", "Runs"]
