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

# Prompt tokens worked on in one step, so that a long prompt slows the others' tokens
# but doesn't stop them.
PROMPT_CHUNK = 128


class Batch:
    """Works on requests step by step.

    A step takes longer the more requests it holds and the more uncached prompt tokens
    it has to read. Waiting requests join by priority, then by arrival.

    Args:
        spec: Times and sizes.
        cache: Prefix cache that saves prompt work.
        load: Told of each change of the load.
        counts: Where runs are counted.
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
        self._work = curio.Event()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Begin to work."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop working."""
        if self._task is not None:
            await self._task.cancel()

    @property
    def has_room(self) -> bool:
        """Whether one more request may wait."""
        waiting = sum(1 for *_, job in self._waiting if job.state is JobState.waiting)
        return len(self._running) < self.slots or waiting < self._spec.queue

    async def submit(self, job: Job) -> None:
        """Queue a request."""
        heapq.heappush(self._waiting, (-job.priority, next(self._arrivals), job))
        self.note_load()
        await self._work.set()

    async def cancel(self, job: Job) -> None:
        """Give a request up; it leaves the batch before the next step."""
        if job.state in (JobState.done, JobState.cancelled):
            return
        job.state = JobState.cancelled
        self._counts.cancelled += 1
        await job.tokens.put(None)

    def find(self, request_id: str) -> Job | None:
        """Return the request of that id, where it waits or runs."""
        jobs = [job for *_, job in self._waiting] + self._running
        return next((job for job in jobs if job.request_id == request_id), None)

    def note_load(self) -> None:
        """Tell the load history how it stands."""
        self._load.note(
            len(self._running), len(self._waiting), self.slots, leaving=self.leaving
        )

    async def _run(self) -> None:
        while True:
            self._drop_cancelled()
            self._admit()
            if not self._running:
                self._work.clear()
                await self._work.wait()
                continue
            await curio.sleep(self._step_time() * self.slow)
            await self._finish_step()

    def _drop_cancelled(self) -> None:
        gone = [job for job in self._running if job.state is JobState.cancelled]
        for job in gone:
            self._leave(job)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            *_, job = heapq.heappop(self._waiting)
            if job.state is JobState.cancelled:
                continue
            self._begin(job)
        self.note_load()

    def _begin(self, job: Job) -> None:
        """Put a request into the batch: from here on it counts as run."""
        job.state = JobState.running
        job.started = time.monotonic()
        cached = self._cache.match(job.blocks) * BLOCK_TOKENS
        job.cached_tokens = min(cached, job.prompt_tokens)
        job.prompt_left = job.prompt_tokens - job.cached_tokens
        self._running.append(job)
        counts = self._counts
        counts.requests[job.request_id] = counts.requests.get(job.request_id, 0) + 1
        counts.nonces[job.nonce] = counts.nonces.get(job.nonce, 0) + 1
        counts.prompt_tokens += job.prompt_tokens
        counts.cached_tokens += job.cached_tokens

    def _step_time(self) -> float:
        extra = self._spec.batch_cost * (len(self._running) - 1)
        prompt = min(PROMPT_CHUNK, sum(job.prompt_left for job in self._running))
        return self._spec.token_time * (1 + extra) + prompt * self._spec.prompt_time

    async def _finish_step(self) -> None:
        budget = PROMPT_CHUNK
        for job in list(self._running):
            if job.state is JobState.cancelled:
                continue
            if job.prompt_left:
                read = min(budget, job.prompt_left)
                job.prompt_left -= read
                budget -= read
                if not job.prompt_left:
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
        self._leave(job)

    def _leave(self, job: Job) -> None:
        self._running.remove(job)
        self._counts.slot_seconds += time.monotonic() - job.started
        self.note_load()
