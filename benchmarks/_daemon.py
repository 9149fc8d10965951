"""Daemon of the load model: the product's decision modules in the order of the filter chain."""

import random
from typing import Any

from benchmarks._targets import Job, Target
from benchmarks._traffic import BLOCK_COST_S, MEAN_TOKENS, STEP_S, Request
from greengagehoist.admission import Admitted, Entry, EntryOutcome, Gate, Refused
from greengagehoist.base import ErrorCode, not_run, unknown
from greengagehoist.config import EngineStage, PoolStage
from greengagehoist.deadlines import QuantileEstimator, StageEstimates, can_finish
from greengagehoist.retries import Hedge, RequestBudget, Retry, RetryRatio, backoff, classify, hedge
from greengagehoist.routing import Demand, Member, Policy, Roster

CONNECT_TIMEOUT_S = 0.5
LOCAL_S = 0.0001
REMOTE_S = 0.0012
PROGRESS_PERIOD_S = 0.5
# A stream that is slower than this share of the usual rate is resumed on another engine.
SLOW_RATE = 0.34
FIRST_TOKEN_RATIO = 4.0


def role_of(stage: Any) -> str:
    """Return the role of the targets that run a stage."""
    return stage.role if isinstance(stage, PoolStage | EngineStage) else "service:job-desk"


class Run:
    """A request that a daemon has admitted."""

    __slots__ = (
        "admitted",
        "attempts",
        "budget",
        "done",
        "jobs",
        "offset",
        "request",
        "stage",
        "tried",
    )

    def __init__(self, request: Request):
        self.request = request
        self.stage = 0
        self.budget = RequestBudget()
        self.jobs: list[Job] = []
        self.attempts = 0
        self.offset = 0
        self.tried: tuple[str, ...] = ()
        self.admitted = 0.0
        self.done = False


class Daemon:
    """Admits, routes and retries requests.

    :param world: the model, which knows the targets, the network and the results.
    """

    def __init__(self, world: Any, name: str, data_centre: str, policy: Policy, weight: float):
        self.world = world
        self.loop = world.loop
        self.name = name
        self.data_centre = data_centre
        self.weight = weight
        self.plain = world.setup.plain
        self.rng = random.Random(f"{world.seed}/{name}")
        self.gates = {"pipeline": Gate(), "service": Gate()}
        self.estimates = StageEstimates()
        self.first_token = QuantileEstimator(0.95)
        self.ratios = {spec.role: RetryRatio() for spec in world.specs}
        distances = dict.fromkeys(world.data_centres, REMOTE_S)
        self.rosters: dict[str, Roster] = {
            spec.role: Roster(name, data_centre, distances, policy, weight) for spec in world.specs
        }

    def add(self, target: Target, *, slow_start: bool = False) -> None:
        """Add a target to the roster of its role."""
        member = Member(target.name, target.data_centre)
        self.rosters[target.spec.role].add(member, self.loop.now, slow_start=slow_start)

    def receive(self, request: Request) -> None:
        """Take an arrival."""
        if self.plain:
            self._start(Run(request))
            return
        gate = self._gate(request)
        left = request.deadline - self.loop.now
        if not can_finish(left, self._times(request, 0)):
            self.world.refuse(request)
            return
        latest = request.deadline - sum(item.p50 for item in self._times(request, 0))
        cost = 1.0 + request.tokens / MEAN_TOKENS
        weight = request.customer.weight
        entry = Entry(request.customer.name, weight, cost, latest, Run(request))
        self._apply(gate.submit(entry, self.loop.now))

    def _gate(self, request: Request) -> Gate:
        return self.gates["pipeline" if len(request.stages) > 1 else "service"]

    def _times(self, request: Request, first: int) -> list:
        return [self.estimates.snapshot(role_of(stage)) for stage in request.stages[first:]]

    def _apply(self, verdicts: list) -> None:
        for verdict in verdicts:
            match verdict:
                case Admitted(entry):
                    self._start(entry.item)
                case Refused(entry, _):
                    self.world.refuse(entry.item.request)

    def _start(self, run: Run) -> None:
        run.admitted = self.loop.now
        self.loop.at(run.request.deadline, self._expire, run)
        self._begin_stage(run)

    def _begin_stage(self, run: Run) -> None:
        run.tried, run.attempts = (), 0
        left = run.request.deadline - self.loop.now
        if not self.plain and not can_finish(left, self._times(run.request, run.stage)):
            self._close(run, False)
            return
        role = role_of(run.request.stages[run.stage])
        self.ratios[role].observe_first()
        self.world.count_first(role)
        self._send(run)

    def _send(self, run: Run) -> None:
        if run.done:
            return
        request, stage, now = run.request, run.request.stages[run.stage], self.loop.now
        role = role_of(stage)
        run.attempts += 1
        key = f"{request.number}/{run.stage}/{run.attempts}"
        if isinstance(stage, EngineStage):
            work = BLOCK_COST_S * len(request.prefix) + STEP_S * MEAN_TOKENS
            demand = Demand(key, work, request.prefix, BLOCK_COST_S, run.tried)
        else:
            demand = Demand(key, self.world.work[role], exclude=run.tried)
        name = self.rosters[role].choose(demand, now, self.rng)
        if name is None:
            self._fail(run, not_run(role, ErrorCode.UNAVAILABLE, "no target"))
            return
        target = self.world.targets[name]
        self.rosters[role].observe_sent(name, demand, now)
        run.tried = (*run.tried, name)
        index = run.stage
        job = Job(key, request, lambda job, ok: self._reply(run, index, job, now, ok))
        job.target, job.offset = target, run.offset
        run.jobs.append(job)
        self.world.count_sent(role)
        if not self.world.reaches(self.data_centre, target):
            self.loop.after(CONNECT_TIMEOUT_S, self._refused, run, index, job, now)
            return
        self.loop.after(self._distance(target), self._arrive, job)
        if not self.plain:
            self._watch(run, index, stage, role, job)

    def _arrive(self, job: Job) -> None:
        if not job.ended:
            job.target.submit(job)

    def _distance(self, target: Target) -> float:
        return LOCAL_S if target.data_centre == self.data_centre else REMOTE_S

    def _watch(self, run: Run, index: int, stage: Any, role: str, job: Job) -> None:
        """Arrange the hedge of a slow run, or the progress checks of a generation."""
        if isinstance(stage, EngineStage):
            self.loop.after(PROGRESS_PERIOD_S, self._check_progress, run, index, job)
            return
        after = self.estimates.snapshot(role).p95
        match hedge(stage, after, self._gate(run.request).is_overloaded, self.weight):
            case Hedge(delay) if run.attempts == 1:
                self.loop.after(delay, self._hedge, run, index)

    def _hedge(self, run: Run, index: int) -> None:
        if not run.done and run.stage == index and run.attempts == 1 and self._may_retry(run):
            run.budget = run.budget.spend()
            self._send(run)

    def _check_progress(self, run: Run, index: int, job: Job) -> None:
        """Resume a stream that is silent or slow on another engine."""
        if run.done or run.stage != index or job.ended:
            return
        produced, waited = job.progress(self.loop.now)
        usual = max(PROGRESS_PERIOD_S, FIRST_TOKEN_RATIO * self.first_token.value)
        silent = produced == job.offset and waited > usual
        silent = silent or not self.world.reaches(self.data_centre, job.target)
        streamed = waited - PROGRESS_PERIOD_S
        slow = produced > job.offset and produced - job.offset < SLOW_RATE * streamed / STEP_S
        if (silent or slow) and self._may_retry(run):
            run.budget = run.budget.spend()
            run.offset = produced
            self._cancel_jobs(run)
            self._send(run)
        else:
            self.loop.after(PROGRESS_PERIOD_S, self._check_progress, run, index, job)

    def _may_retry(self, run: Run) -> bool:
        overloaded = self._gate(run.request).is_overloaded
        role = role_of(run.request.stages[run.stage])
        return run.budget.left > 0 and not overloaded and self.ratios[role].try_acquire()

    def _refused(self, run: Run, index: int, job: Job, sent_at: float) -> None:
        if job.ended:
            return
        job.ended = True
        roster = self.rosters[job.target.spec.role]
        roster.observe_unreachable(job.target.name, job.key, self.loop.now)
        if not run.done and run.stage == index:
            error = not_run(job.target.spec.role, ErrorCode.CONNECTION, "no connection")
            self._fail(run, error)

    def _reply(self, run: Run, index: int, job: Job, sent_at: float, ok: bool) -> None:
        distance = self._distance(job.target)
        if not self.world.reaches(self.data_centre, job.target):
            ok, distance = False, CONNECT_TIMEOUT_S
        self.loop.after(distance, self._take, run, index, job, sent_at, ok)

    def _take(self, run: Run, index: int, job: Job, sent_at: float, ok: bool) -> None:
        self._observe(job, sent_at, ok)
        role = job.target.spec.role
        if run.done or run.stage != index:
            self.world.waste(role, job.work)
        elif not ok:
            self.world.waste(role, job.work)
            self._fail(run, unknown(role, ErrorCode.TARGET_FAILED, "failed"))
        else:
            self.estimates.observe(role, self.loop.now - sent_at)
            if role == "engine":
                self.first_token.observe(job.first_token - sent_at)
            self._next(run, job)

    def _observe(self, job: Job, sent_at: float, ok: bool) -> None:
        latency = self.loop.now - sent_at
        role = job.target.spec.role
        self.rosters[role].observe_done(job.target.name, job.key, latency, ok, self.loop.now)

    def _next(self, run: Run, job: Job) -> None:
        run.jobs.remove(job)
        self._cancel_jobs(run)
        run.stage += 1
        if isinstance(run.request.stages[run.stage - 1], EngineStage):
            self.world.observe_stream(run.request, job)
        if run.stage < len(run.request.stages):
            self._begin_stage(run)
        else:
            self._close(run, True)

    def _fail(self, run: Run, error: Any) -> None:
        stage = run.request.stages[run.stage]
        decision = classify(error, stage, self._gate(run.request).is_overloaded)
        live = [job for job in run.jobs if not job.ended]
        if live:
            return
        if not isinstance(decision, Retry) or run.budget.left <= 0:
            self._close(run, False)
            return
        if decision.counted and not self.ratios[role_of(stage)].try_acquire():
            self._close(run, False)
            return
        delay = backoff(run.attempts - 1, self.rng) if decision.delayed else 0.0
        run.budget = run.budget.spend()
        self.loop.after(delay, self._send, run)

    def _expire(self, run: Run) -> None:
        if not run.done:
            self._close(run, False)

    def _cancel_jobs(self, run: Run) -> None:
        for job in run.jobs:
            if job.ended:
                continue
            kept = STEP_S * max(0, run.offset - job.offset)
            used = job.target.cancel(job)
            self.world.waste(job.target.spec.role, max(0.0, used - kept))
            roster = self.rosters[job.target.spec.role]
            roster.observe_cancelled(job.target.name, job.key, self.loop.now)
        run.jobs.clear()

    def _close(self, run: Run, whole: bool) -> None:
        run.done = True
        self._cancel_jobs(run)
        now = self.loop.now
        self.world.finish(run.request, whole and now <= run.request.deadline)
        if self.plain:
            return
        late = now >= run.request.deadline
        ending = (
            EntryOutcome.COMPLETED
            if whole
            else EntryOutcome.MISSED if late else EntryOutcome.FAILED
        )
        gate = self._gate(run.request)
        self._apply(gate.finish(now - run.admitted, ending, now))
