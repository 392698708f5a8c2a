"""Threads that run the callers, operators and observers."""

import threading
from typing import Protocol

JOIN_TIMEOUT = 30.0
"""Seconds to wait for each thread to end."""


class Worker(Protocol):
    """A task that runs until its stop event is set."""

    def run(self) -> None:
        """Run until stopped."""


class WorkerThreads:
    """Runs each worker in a thread and reports those that fail.

    The run continues without a worker that fails. Its failure must be reported, because
    a run that checked little would otherwise look the same as a complete one.

    Args:
        workers: Tasks to run.
    """

    def __init__(self, workers: list[Worker]) -> None:
        self._failures: list[str] = []
        self._threads = [
            threading.Thread(target=self._run, args=(worker,), daemon=True)
            for worker in workers
        ]

    def start(self) -> None:
        """Start every thread."""
        for thread in self._threads:
            thread.start()

    def close(self) -> list[str]:
        """Wait for the threads; their stop event must be set.

        Returns:
            Descriptions of failures.
        """
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT)
        unfinished = [thread.name for thread in self._threads if thread.is_alive()]
        return [*self._failures, *[f"worker {name} did not end" for name in unfinished]]

    def _run(self, worker: Worker) -> None:
        try:
            worker.run()
        except Exception as exc:
            self._failures.append(f"worker {type(worker).__name__} failed: {exc!r}")
