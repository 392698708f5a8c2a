"""Continuous batching: requests join and leave the batch between two steps."""

import heapq
import itertools
import time

import curio

from bronzepoint_common.prefix import BLOCK_TOKENS
from bronzepoint_emulator.engine._cache import PrefixCache
from bronzepoint_emulator.engine._job import Job, JobState
from bronzepoint_emulator.engine._load import LoadHistory
from bronzepoint_schema.generated.emulator import EngineSpec, RunCounts

# Maximum prompt tokens processed per step. Chunking lets a long prompt slow down the
# token generation of other requests without stopping it.
PROMPT_CHUNK = 128


class Batch:
    """Simulates the steps of an engine that batches requests.

    The duration of a step grows with the number of running requests and of uncached
    prompt tokens to process. Waiting requests join by priority, then by arrival.

    Args:
        spec: Durations (s) and sizes.
        cache: Prefix cache; cached prompt tokens need no processing.
        load: Records each change of the load.
        counts: Counters of the runs.
    """

    def __init__(
        self,
        spec: EngineSpec,
        cache: PrefixCache,
        load: LoadHistory,
        counts: RunCounts,
    ) -> None:
        self.slots = spec.slots
        self.slow = 1.0
        self.leaving = False
        self._spec = spec
        self._cache = cache
        self._load = load
        self._counts = counts
        self._waiting: list[tuple[int, int, Job]] = []
        self._running: list[Job] = []
        self._arrivals = itertools.count()
        self._work_available = curio.Event()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start processing."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop processing."""
        if self._task is not None:
            await self._task.cancel()

    @property
    def has_capacity(self) -> bool:
        """Whether one more request can run or be queued."""
        waiting = sum(1 for *_, job in self._waiting if job.state is JobState.waiting)
        return len(self._running) < self.slots or waiting < self._spec.queue

    async def submit(self, job: Job) -> None:
        """Queue a request."""
        heapq.heappush(self._waiting, (-job.priority, next(self._arrivals), job))
        self.record_load()
        await self._work_available.set()

    async def cancel(self, job: Job) -> None:
        """Cancel a request; it leaves the batch before the next step."""
        if job.state in (JobState.done, JobState.cancelled):
            return
        job.state = JobState.cancelled
        self._counts.cancelled += 1
        await job.tokens.put(None)

    def find(self, request_id: str) -> Job | None:
        """Return the waiting or running request with this id, if any."""
        jobs = [job for *_, job in self._waiting] + self._running
        return next((job for job in jobs if job.request_id == request_id), None)

    def record_load(self) -> None:
        """Record the current load in the load history."""
        self._load.record(
            len(self._running), len(self._waiting), self.slots, leaving=self.leaving
        )

    async def _run(self) -> None:
        while True:
            self._drop_cancelled()
            self._admit()
            if not self._running:
                self._work_available.clear()
                await self._work_available.wait()
                continue
            await curio.sleep(self._step_time() * self.slow)
            await self._finish_step()

    def _drop_cancelled(self) -> None:
        cancelled = [job for job in self._running if job.state is JobState.cancelled]
        for job in cancelled:
            self._remove(job)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            *_, job = heapq.heappop(self._waiting)
            if job.state is JobState.cancelled:
                continue
            self._start_job(job)
        self.record_load()

    def _start_job(self, job: Job) -> None:
        """Add a request to the batch; it counts as run from now on."""
        job.state = JobState.running
        job.started = time.monotonic()
        cached = self._cache.match(job.blocks) * BLOCK_TOKENS
        job.cached_tokens = min(cached, job.prompt_tokens)
        job.prompt_remaining = job.prompt_tokens - job.cached_tokens
        self._running.append(job)
        counts = self._counts
        counts.requests[job.request_id] = counts.requests.get(job.request_id, 0) + 1
        counts.nonces[job.nonce] = counts.nonces.get(job.nonce, 0) + 1
        counts.prompt_tokens += job.prompt_tokens
        counts.cached_tokens += job.cached_tokens

    def _step_time(self) -> float:
        extra = self._spec.batch_cost * (len(self._running) - 1)
        prompt = min(PROMPT_CHUNK, sum(job.prompt_remaining for job in self._running))
        return self._spec.token_time * (1 + extra) + prompt * self._spec.prompt_time

    async def _finish_step(self) -> None:
        budget = PROMPT_CHUNK
        for job in list(self._running):
            if job.state is JobState.cancelled:
                continue
            if job.prompt_remaining:
                read = min(budget, job.prompt_remaining)
                job.prompt_remaining -= read
                budget -= read
                if not job.prompt_remaining:
                    self._cache.store(job.blocks)
                continue
            await self._generate(job)

    async def _generate(self, job: Job) -> None:
        await job.tokens.put(job.generated)
        job.generated += 1
        self._counts.generated_tokens += 1
        if job.generated < job.max_tokens:
            return
        job.state = JobState.done
        await job.tokens.put(None)
        self._remove(job)

    def _remove(self, job: Job) -> None:
        self._running.remove(job)
        self._counts.slot_seconds += time.monotonic() - job.started
        self.record_load()
