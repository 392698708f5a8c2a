"""All runs of the experiments, paired: the same arrivals, at the same time."""

import multiprocessing
import time
from collections.abc import Callable, Iterable
from multiprocessing.connection import Connection
from typing import Self

from msgspec import Struct

from bronzepoint_emulator.experiments._cell import Cell
from bronzepoint_emulator.experiments._worker import work

_JOIN_TIMEOUT = 30.0


class Contender(Struct, frozen=True):
    """One way of placing requests, with one user's weights.

    Attributes:
        extra: more keys of the [policy] section.
    """

    choice: str
    weights: str = "saphan"
    label: str = ""
    extra: dict[str, str] = {}

    def name(self) -> str:
        """Return what the table calls it."""
        return self.label or self.choice


CONTENDERS = (
    Contender("policy", "saphan", "policy (Saphan)"),
    Contender("policy", "karadeniz", "policy (Karadeniz)"),
    Contender("round_robin"),
    Contender("least_in_progress"),
    Contender("random_region"),
)


class RunFailed(Exception):
    """A run gave no result; the message holds the worker's error."""


class Runs:
    """One deployment for each contender, all at work at the same time.

    Run one after another, the contenders would meet a machine that is busy to
    different degrees; side by side they share whatever disturbs them.

    Args:
        contenders: What is compared.
        note: Told of the progress.
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
            here, there = context.Pipe()
            process = context.Process(
                target=work,
                args=(there, contender.choice, contender.weights, contender.extra),
            )
            process.start()
            there.close()
            self._workers.append((process, here))
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
