"""The threads that call, change and watch during a run."""

import threading
from typing import Protocol

JOIN_TIMEOUT = 30.0


class Worker(Protocol):
    """Something that runs until it is told to stop."""

    def run(self) -> None:
        """Run to the end."""


class WorkerThreads:
    """Runs workers in a thread each, and tells which of them failed.

    A worker that fails ends alone and the run goes on without it. Unless that is told,
    a run that checked little looks as good as one that checked everything.

    Args:
        workers: What runs.
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
        """Wait for the threads, which have been told to stop.

        Returns:
            Failures, in words.
        """
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT)
        late = [thread.name for thread in self._threads if thread.is_alive()]
        return [*self._failures, *[f"worker {name} did not end" for name in late]]

    def _run(self, worker: Worker) -> None:
        try:
            worker.run()
        except Exception as exc:
            self._failures.append(f"worker {type(worker).__name__} failed: {exc!r}")
