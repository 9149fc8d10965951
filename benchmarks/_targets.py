"""Targets of the load model: multi-server queues with the timing of the stand-ins."""

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

from benchmarks._traffic import BLOCK_COST_S, DECODE_STEP_S, Request
from greengagehoist.routing import CacheEvents, LoadReport

CACHE_BLOCKS = 90
EVENT_LOSS_RATE = 0.1


class PoolSpec(NamedTuple):
    """Pool of targets with one role.

    :param capacity: jobs that a target runs at once.
    :param work: service time of a job in seconds; an engine's depends on the request.
    """

    role: str
    replicas: int
    capacity: int
    work: float


SPECS = (
    PoolSpec("encoder", 4, 3, 0.10),
    PoolSpec("retriever", 4, 5, 0.16),
    PoolSpec("reranker", 4, 6, 0.20),
    PoolSpec("engine", 10, 8, 0.0),
    PoolSpec("service:job-desk", 4, 8, 0.02),
)


class Job:
    """One attempt of a stage at one target.

    :param finish: called as ``finish(job, ok)`` when the job completes or fails.
    """

    __slots__ = (
        "cached",
        "ended",
        "finish",
        "first_token",
        "key",
        "offset",
        "queued",
        "request",
        "started",
        "target",
        "work",
    )

    def __init__(self, key: str, request: Request, finish: Callable[["Job", bool], None]):
        self.key = key
        self.request = request
        self.finish = finish
        self.target: Target | None = None
        self.offset = 0
        self.queued = 0.0
        self.first_token = 0.0
        self.started = 0.0
        self.work = 0.0
        self.cached = 0
        self.ended = False

    def progress(self, now: float) -> tuple[int, float]:
        """Return the tokens produced so far and the seconds since the first token or arrival."""
        if not self.started or now < self.first_token:
            return self.offset, now - self.queued
        streamed = now - self.first_token
        produced = int(streamed / (DECODE_STEP_S * self.target.slowdown)) + 1
        return min(self.request.tokens, self.offset + produced), streamed


class Target:
    """A target with a queue, a number of slots and, for engines, a prefix cache.

    :param loop: event loop of the model.
    """

    def __init__(self, loop: Any, name: str, data_centre: str, spec: PoolSpec, rng: random.Random):
        self.loop = loop
        self.name = name
        self.data_centre = data_centre
        self.spec = spec
        self.rng = rng
        self.slowdown = 1.0
        self.dead = False
        self.failing = False
        self.draining = False
        self.queue: list[Job] = []
        self.running: list[Job] = []
        self.busy_s = 0.0
        self.waited_s = 0.0
        self.runs = 0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._sequence = 0
        self._stored: list[int] = []
        self._removed: list[int] = []

    def submit(self, job: Job) -> None:
        """Queue a job."""
        job.target = self
        if self.failing:
            self.loop.after(0.005, self._fail, job)
            return
        job.queued = self.loop.now
        self.queue.append(job)
        self._start_next()

    def _fail(self, job: Job) -> None:
        if not job.ended:
            job.ended = True
            job.finish(job, False)

    def _start_next(self) -> None:
        while self.queue and len(self.running) < self.spec.capacity:
            job = self.queue.pop(0)
            self.running.append(job)
            self.waited_s += self.loop.now - job.queued
            self.runs += 1
            job.started = self.loop.now
            job.work = self._work(job) * self.slowdown
            self.loop.after(job.work, self._end, job)

    def _work(self, job: Job) -> float:
        if self.spec.role != "engine":
            return self.spec.work
        job.cached = self._use_cache(job.request.prefix)
        prefill = BLOCK_COST_S * (len(job.request.prefix) - job.cached)
        job.first_token = self.loop.now + (prefill + DECODE_STEP_S) * self.slowdown
        return prefill + DECODE_STEP_S * (job.request.tokens - job.offset)

    def _use_cache(self, prefix: tuple[int, ...]) -> int:
        hits = 0
        for block in prefix:
            if block not in self._cache:
                break
            hits += 1
        for block in prefix:
            if block not in self._cache:
                self._stored.append(block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._removed.append(self._cache.popitem(last=False)[0])
        return hits

    def _end(self, job: Job) -> None:
        if job.ended:
            return
        job.ended = True
        self.running.remove(job)
        self.busy_s += self.loop.now - job.started
        self._start_next()
        job.finish(job, True)

    def cancel(self, job: Job) -> float:
        """Cancel a job and return the busy seconds it has used."""
        if job.ended:
            return 0.0
        job.ended = True
        if job in self.queue:
            self.queue.remove(job)
            return 0.0
        if job not in self.running:
            return 0.0
        self.running.remove(job)
        used = self.loop.now - job.started
        self.busy_s += used
        self._start_next()
        return used

    def kill(self) -> None:
        """Stop the target immediately and fail its jobs."""
        self.dead = True
        jobs, self.queue, self.running = self.queue + self.running, [], []
        for job in jobs:
            job.ended = True
            job.finish(job, False)

    def report(self) -> LoadReport:
        """Return the load at this instant."""
        return LoadReport(len(self.queue), len(self.running), self.spec.capacity, self.loop.now)

    def drain_cache_events(self) -> CacheEvents | None:
        """Return the cache events since the last call.

        A random share of the batches is lost, which leaves a gap in the sequence numbers.
        """
        count = len(self._stored) + len(self._removed)
        events = CacheEvents(self._sequence, count, tuple(self._stored), tuple(self._removed))
        self._sequence += count
        self._stored, self._removed = [], []
        return None if not count or self.rng.random() < EVENT_LOSS_RATE else events
